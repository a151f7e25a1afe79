package experimenter

import (
	"slices"
	"strconv"
	"time"

	"verbenareach/internal/agent/admitter"
	"verbenareach/internal/engine/emulator"
	"verbenareach/internal/entry/router"
)

// The only model, failure domain and region of the experiment.
const (
	modelName  = "model"
	domainName = "domain"
	regionName = "region"
)

type (
	// policy decides which jobs run on which engines. All fields are set.
	policy struct {
		// place returns the engine for a job, or nil if the job must wait.
		place func(now time.Time, j *job) *simEngine
		// progressed is called after each token of a job but the last, finished after the
		// last one.
		progressed func(now time.Time, n *simEngine, j *job)
		finished   func(now time.Time, n *simEngine, j *job)
		// evict returns the ids of the jobs to preempt.
		evict func(now time.Time, n *simEngine) []uint64
		// lost is called when an engine is lost.
		lost func(now time.Time, n *simEngine)
		// tick is called before waiting jobs are placed.
		tick func(now time.Time)
	}

	// namedPolicy is a policy with its name in tables.
	namedPolicy struct {
		name string
		make func([]*simEngine) policy
	}

	// routedPolicy places a job at the router's first candidate that admits it.
	routedPolicy struct {
		engines []*simEngine
		router  *router.Router
		admit   func(now time.Time, n *simEngine, j *job) bool
		// expectedTokens holds, by job id, the size that was reported to the router.
		expectedTokens map[uint64]int
		candidates     []router.Candidate
	}
)

// basePolicy returns a policy that only places jobs.
func basePolicy(place func(time.Time, *job) *simEngine) policy {
	return policy{
		place:      place,
		progressed: func(time.Time, *simEngine, *job) {},
		finished:   func(time.Time, *simEngine, *job) {},
		evict:      func(time.Time, *simEngine) []uint64 { return nil },
		lost:       func(time.Time, *simEngine) {},
		tick:       func(time.Time) {},
	}
}

func roundRobin(engines []*simEngine) policy {
	next := 0
	return basePolicy(func(time.Time, *job) *simEngine {
		for {
			next++
			if n := engines[next%len(engines)]; !n.lost {
				return n
			}
		}
	})
}

// leastLoaded returns the eligible live engine with the fewest jobs.
func leastLoaded(engines []*simEngine, eligible func(*simEngine) bool) *simEngine {
	var best *simEngine
	for _, n := range engines {
		if !n.lost && eligible(n) && (best == nil || len(n.jobs) < len(best.jobs)) {
			best = n
		}
	}
	return best
}

func leastOutstanding(engines []*simEngine) policy {
	return basePolicy(func(time.Time, *job) *simEngine {
		return leastLoaded(engines, func(*simEngine) bool { return true })
	})
}

func reserveMaximum(memory int) func([]*simEngine) policy {
	return func(engines []*simEngine) policy {
		return basePolicy(func(_ time.Time, j *job) *simEngine {
			return leastLoaded(engines, func(n *simEngine) bool {
				sum := j.PromptTokens + j.MaxTokens
				for _, other := range n.jobs {
					sum += other.PromptTokens + other.MaxTokens
				}
				return sum <= memory
			})
		})
	}
}

func admitAlways(engines []*simEngine) policy {
	return newRoutedPolicy(engines, func(time.Time, *simEngine, *job) bool { return true }).policy()
}

// oracle knows each length and admits a job if memory suffices at every later step.
func oracle(p emulator.Parameters) func([]*simEngine) policy {
	return func(engines []*simEngine) policy {
		return newRoutedPolicy(engines, func(_ time.Time, n *simEngine, j *job) bool {
			return len(n.jobs) < p.MaxBatch && knownPeak(n, j) <= p.MemoryTokens
		}).policy()
	}
}

// knownPeak returns the peak memory, in tokens, that an engine's jobs and another one
// will need. Shared prefixes count once.
func knownPeak(n *simEngine, extra *job) int {
	const blockTokens = 16
	type demand struct{ left, held int }
	var needs []demand
	shared, base := make(map[uint64]bool), 0
	add := func(j *job) {
		for _, h := range j.Blocks {
			if !shared[h] {
				shared[h] = true
				base += blockTokens
			}
		}
		held := j.PromptTokens - len(j.Blocks)*blockTokens + j.generated
		needs = append(needs, demand{left: j.Length - j.generated, held: held + blockTokens})
	}
	for _, j := range n.jobs {
		add(j)
	}
	add(extra)
	slices.SortFunc(needs, func(a, b demand) int { return b.left - a.left })
	peak, held := 0, 0
	for i, x := range needs {
		held += x.held
		peak = max(peak, held+(i+1)*x.left)
	}
	return base + peak
}

// adaptive is the product's own policy: the router and one admitter for each engine.
func adaptive(s admitter.Settings) func([]*simEngine) policy {
	return func(engines []*simEngine) policy {
		admitters := make(map[*simEngine]*admitter.Admitter)
		for _, n := range engines {
			admitters[n] = admitter.New(s)
		}
		p := newRoutedPolicy(engines, func(now time.Time, n *simEngine, j *job) bool {
			return admitters[n].Admit(now, admitter.Work{
				ID:           j.name,
				Workspace:    j.Workspace,
				Kind:         j.Kind,
				PromptTokens: j.PromptTokens,
				Blocks:       j.Blocks,
				Resumed:      j.generated,
				MaxTokens:    j.MaxTokens,
			}).Admit
		}).policy()
		done := p.finished
		p.progressed = func(_ time.Time, n *simEngine, j *job) {
			admitters[n].Progress(j.name, j.generated)
		}
		p.finished = func(now time.Time, n *simEngine, j *job) {
			admitters[n].Finish(j.name, j.generated)
			done(now, n, j)
		}
		p.evict = func(now time.Time, n *simEngine) []uint64 {
			var ids []uint64
			for _, name := range admitters[n].Victims(now) {
				id, _ := strconv.ParseUint(name, 10, 64)
				done(now, n, n.jobs[id])
				ids = append(ids, id)
			}
			return ids
		}
		return p
	}
}

func newRoutedPolicy(engines []*simEngine, admit func(time.Time, *simEngine, *job) bool) *routedPolicy {
	r := &routedPolicy{
		engines:        engines,
		router:         router.New(router.DefaultSettings(regionName, domainName)),
		admit:          admit,
		expectedTokens: make(map[uint64]int),
	}
	var servers []router.Server
	for _, n := range engines {
		servers = append(servers, router.Server{
			Name:          n.name,
			FailureDomain: domainName,
			Region:        regionName,
			Models:        []router.Model{{Model: modelName}},
			MemoryTokens:  n.engine.Load(start).MemoryTotal,
		})
	}
	r.router.Usable = func(name string) bool { return !r.engine(name).lost }
	r.router.SetServers(servers)
	return r
}

func (r *routedPolicy) engine(name string) *simEngine {
	for _, n := range r.engines {
		if n.name == name {
			return n
		}
	}
	return nil
}

func (r *routedPolicy) place(now time.Time, j *job) *simEngine {
	req := router.Request{
		Model:        router.Model{Model: modelName},
		PromptTokens: j.PromptTokens,
		Blocks:       j.Blocks,
		Expected:     j.PromptTokens + j.generated,
	}
	r.candidates = r.router.Choose(now, &req, r.candidates[:0])
	for _, c := range r.candidates {
		n := r.engine(c.Name)
		if !r.admit(now, n, j) {
			continue
		}
		r.router.Confirm(c.Name, c.CachedTokens, n.engine.CachedTokens(j.Blocks))
		r.expectedTokens[j.id] = req.Expected
		r.router.RecordSent(now, c.Name, &req, req.Expected)
		return n
	}
	return nil
}

func (r *routedPolicy) policy() policy {
	p := basePolicy(r.place)
	p.finished = func(now time.Time, n *simEngine, j *job) {
		r.router.Done(now, n.name, r.expectedTokens[j.id])
	}
	p.tick = func(now time.Time) {
		for _, n := range r.engines {
			l := n.engine.Load(now)
			r.router.Report(n.name, router.Load{
				Running:     l.Running,
				Waiting:     l.Waiting,
				MemoryTotal: l.MemoryTotal,
				MemoryUsed:  l.MemoryUsed,
				ReportedAt:  l.ReportedAt,
			})
		}
	}
	return p
}
