package placer

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

var (
	epoch  = time.Unix(1_700_000_000, 0)
	rota   = Model{Model: "rota"}
	report = Model{Model: "report"}
)

const planInterval = 10 * time.Second

// fleet is a set of servers that carry out the steps of a plan at once.
type fleet []Server

func newFleet(n int, models ...Model) fleet {
	f := make(fleet, n)
	for i := range f {
		f[i] = Server{
			Name: fmt.Sprintf("s%02d", i), FailureDomain: fmt.Sprint("d", i%3), Slots: 1,
			Loaded: []Model{models[i%len(models)]}, Running: map[Model]int{}, TokensPerSecond: 1000,
		}
	}
	return f
}

// apply carries out steps. A Drain ends one generation in progress.
func (f fleet) apply(steps []Step) {
	for _, step := range steps {
		for i := range f {
			s := &f[i]
			if s.Name != step.Server {
				continue
			}
			switch step.Kind {
			case Load:
				s.Loaded = append(slices.Clone(s.Loaded), step.Model)
			case Drain:
				s.Running[step.Model]--
			case Unload:
				s.Loaded = slices.DeleteFunc(slices.Clone(s.Loaded), func(m Model) bool { return m == step.Model })
			}
		}
	}
}

func (f fleet) count(m Model) int {
	n := 0
	for _, s := range f {
		if !s.Leaving && slices.Contains(s.Loaded, m) {
			n++
		}
	}
	return n
}

// simulate calls Observe and Plan for a duration, under demands in tokens per second.
func simulate(p *Placer, f fleet, from time.Time, d time.Duration, demand map[Model]float64) (now time.Time, steps []Step) {
	for now = from; now.Before(from.Add(d)); now = now.Add(planInterval) {
		for _, m := range []Model{rota, report} {
			p.Observe(now, m, demand[m]*planInterval.Seconds())
		}
		plan := p.Plan(now, f)
		f.apply(plan)
		steps = append(steps, plan...)
	}
	return now, steps
}

func TestPlanFollowsDemand(t *testing.T) {
	f := newFleet(12, rota, report)
	p := New(DefaultSettings())
	now, steps := simulate(p, f, epoch, 30*time.Minute, map[Model]float64{rota: 2000, report: 2000})
	if len(steps) != 0 {
		t.Fatalf("steps though demand matches capacity: %v", steps)
	}
	now, _ = simulate(p, f, now, time.Hour, map[Model]float64{rota: 4000, report: 500})
	if got := f.count(rota); got < 8 || f.count(report) < 2 {
		t.Errorf("%d rota servers, %d report servers", got, f.count(report))
	}
	_, steps = simulate(p, f, now, time.Hour, map[Model]float64{rota: 4000, report: 500})
	if len(steps) != 0 {
		t.Errorf("steps though demand did not change: %v", steps)
	}
}

func TestPlanIgnoresShortBurst(t *testing.T) {
	f := newFleet(12, rota, report)
	p := New(DefaultSettings())
	quiet := map[Model]float64{rota: 2000, report: 500}
	now, _ := simulate(p, f, epoch, 30*time.Minute, quiet)
	now, steps := simulate(p, f, now, 20*time.Second, map[Model]float64{rota: 5000, report: 500})
	_, more := simulate(p, f, now, 10*time.Minute, quiet)
	if len(steps)+len(more) != 0 {
		t.Errorf("steps for a burst of 20 s: %v %v", steps, more)
	}
}

func TestDrainsBeforeUnload(t *testing.T) {
	f := newFleet(6, rota, report)
	for i := range f {
		f[i].Running[report] = 3
	}
	p := New(DefaultSettings())
	now, _ := simulate(p, f, epoch, 20*time.Minute, map[Model]float64{rota: 1000, report: 10})
	_, steps := simulate(p, f, now, 20*time.Minute, map[Model]float64{rota: 2500, report: 10})
	drained := make(map[string]int)
	unloads := 0
	for _, s := range steps {
		switch s.Kind {
		case Drain:
			drained[s.Server]++
		case Unload:
			unloads++
			if drained[s.Server] != 3 {
				t.Errorf("%s unloaded after %d drain steps, want 3", s.Server, drained[s.Server])
			}
		}
	}
	if unloads == 0 {
		t.Errorf("nothing was unloaded: %v", steps)
	}
}

func TestNewModelIsLoadedInTwoDomains(t *testing.T) {
	f := newFleet(6, rota)
	for i := range f {
		f[i].Slots = 2
	}
	p := New(DefaultSettings())
	simulate(p, f, epoch, 10*time.Minute, map[Model]float64{rota: 10, report: 300})
	domains := make(map[string]bool)
	for _, s := range f {
		if slices.Contains(s.Loaded, report) {
			domains[s.FailureDomain] = true
		}
	}
	if len(domains) < 2 {
		t.Errorf("the new model is in %d failure domains", len(domains))
	}
}

func TestPlacerProperties(t *testing.T) {
	params := gopter.DefaultTestParametersWithSeed(13)
	params.MinSuccessfulTests = 40
	ps := gopter.NewProperties(params)
	ps.Property("loads are few at a time, never on a leaving server, and the last server of a model keeps it", prop.ForAll(
		func(seed uint64) bool {
			r := rand.New(rand.NewPCG(seed, 1))
			f := newFleet(9, rota, report)
			p := New(DefaultSettings())
			now := epoch
			for range 12 {
				demand := map[Model]float64{rota: r.Float64() * 3000, report: r.Float64() * 3000}
				f[r.IntN(len(f))].Leaving = r.IntN(3) == 0
				end := now.Add(time.Duration(r.IntN(15)) * time.Minute)
				for ; now.Before(end); now = now.Add(planInterval) {
					for m, d := range demand {
						p.Observe(now, m, d*planInterval.Seconds())
					}
					steps := p.Plan(now, f)
					for _, s := range steps {
						i := slices.IndexFunc(f, func(x Server) bool { return x.Name == s.Server })
						if f[i].Leaving || s.Kind == Load && len(f[i].Loaded) >= f[i].Slots {
							return false
						}
						if s.Kind == Unload && f.count(s.Model) < 2 {
							return false
						}
					}
					if len(steps) > p.settings.MaxLoads {
						return false
					}
					f.apply(steps)
				}
			}
			return f.count(rota) > 0 && f.count(report) > 0
		}, gen.UInt64()))
	ps.TestingRun(t)
}

func BenchmarkPlan(b *testing.B) {
	for _, n := range []int{78, 260, 780} {
		b.Run(fmt.Sprint(n, " servers"), func(b *testing.B) {
			models := make([]Model, 10)
			for i := range models {
				models[i] = Model{Model: fmt.Sprint("m", i)}
			}
			f := newFleet(n, models...)
			p := New(DefaultSettings())
			now := epoch
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(planInterval)
				for _, m := range models {
					p.Observe(now, m, 1000)
				}
				p.Plan(now, f)
			}
		})
	}
}
