package admitter

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"verbenareach/internal/prompt/hasher"
)

var epoch = time.Unix(1_700_000_000, 0)

func work(id string, prompt int) Work {
	return Work{ID: id, Workspace: "w", Kind: "k", PromptTokens: prompt}
}

// trained returns an admitter that has learned that all outputs have length
// tokens.
func trained(s Settings, length int) *Admitter {
	a := New(s)
	for i := range 300 {
		id := fmt.Sprint("past-", i)
		a.Admit(epoch, work(id, 1))
		a.Finish(id, length)
	}
	return a
}

// recount returns the memory and prefill recomputed from the admitted generations.
func recount(a *Admitter) (used, prefill int) {
	blocks := make(map[uint64]bool)
	for _, g := range a.byAdmission {
		used += roundUpToBlocks(g.PromptTokens+g.tokens) - len(g.Blocks)*hasher.BlockTokens
		prefill += g.prefilling
		for _, h := range g.Blocks {
			blocks[h] = true
		}
	}
	return used + len(blocks)*hasher.BlockTokens, prefill
}

func TestAdmitterUsage(t *testing.T) {
	params := gopter.DefaultTestParametersWithSeed(11)
	params.MinSuccessfulTests = 60
	ps := gopter.NewProperties(params)
	ps.Property("usage matches the generations in progress and never exceeds the memory", prop.ForAll(
		func(seed uint64) bool {
			r := rand.New(rand.NewPCG(seed, 1))
			s := NewSettings(8000, ChoirsWeights())
			a := New(s)
			now := epoch
			tokens := make(map[string]int)
			for i := range 600 {
				now = now.Add(time.Duration(r.IntN(40)) * time.Millisecond)
				id := strconv.Itoa(r.IntN(30))
				g := a.byID[id]
				switch op := r.IntN(5); {
				case g == nil:
					// The prompts are beginnings of two texts, so that they share blocks.
					blocks := make([]uint64, r.IntN(20))
					for k := range blocks {
						blocks[k] = uint64(r.IntN(2)+1)<<32 + uint64(k)
					}
					for k := 1; k < len(blocks); k++ {
						blocks[k] = blocks[0]&^0xffffffff + uint64(k)
					}
					w := work(id, len(blocks)*hasher.BlockTokens+r.IntN(100))
					w.Blocks = blocks
					if !a.Admit(now, w).Admit {
						break
					}
					tokens[id] = 0
					if a.Usage(now).Used > s.MemoryTokens {
						return false
					}
				case op == 0:
					a.Finish(id, tokens[id])
				case op == 1:
					a.Abandon(id)
				default:
					tokens[id] += r.IntN(50)
					a.Progress(id, tokens[id])
				}
				used, prefill := recount(a)
				if used != a.Usage(now).Used || prefill != a.prefill || len(a.byAdmission) != len(a.byID) {
					t.Logf("step %d: used %d, want %d; prefill %d, want %d", i, a.Usage(now).Used, used, a.prefill, prefill)
					return false
				}
			}
			return true
		}, gen.UInt64()))
	ps.TestingRun(t)
}

func TestAdmit(t *testing.T) {
	settings := NewSettings(10_000, ChoirsWeights())
	settings.MaxPrefill = 0
	tests := []struct {
		name string
		// length is the output length that the admitter has learned.
		length int
		change func(*Settings)
		// works is the number of generations admitted before work.
		works int
		work  Work
		want  Reason
	}{
		{"empty engine", 100, nil, 0, work("x", 500), Admitted},
		{"larger than the memory", 100, nil, 0, work("x", 10_000), TooLarge},
		{"short outputs fit", 100, nil, 12, work("x", 500), Admitted},
		{"long outputs do not", 2000, nil, 12, work("x", 500), Memory},
		{"no memory now", 100, nil, 19, work("x", 5000), Memory},
		{"batch is full", 100, func(s *Settings) { s.MaxBatch = 3 }, 3, work("x", 1), Batch},
		{"prefill limit reached", 100, func(s *Settings) { s.MaxPrefill = 1500 }, 2, work("x", 800), Prefill},
		{"bounded output fits", 2000, nil, 9, Work{ID: "x", Workspace: "w", Kind: "k", PromptTokens: 100, MaxTokens: 20}, Admitted},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := settings
			if tt.change != nil {
				tt.change(&s)
			}
			a := trained(s, tt.length)
			for i := range tt.works {
				a.Admit(epoch, Work{ID: strconv.Itoa(i), Workspace: "w", Kind: "k", PromptTokens: 500, MaxTokens: 300})
			}
			got := a.Admit(epoch, tt.work)
			if got.Reason != tt.want || got.Admit != (tt.want == Admitted) {
				t.Errorf("%d works: verdict %+v, want reason %q", tt.works, got, tt.want)
			}
			if again := a.Admit(epoch, tt.work); got.Admit && !again.Admit {
				t.Error("a second offer of admitted work was declined")
			}
		})
	}
}

func TestAdmitBoundsOvertaking(t *testing.T) {
	s := NewSettings(10_000, ChoirsWeights())
	s.MaxPrefill = 0
	s.MaxOvertaken = 3
	a := trained(s, 50)
	a.Admit(epoch, work("long", 6000))
	large := work("large", 5000)
	if got := a.Admit(epoch, large).Reason; got != Memory {
		t.Fatalf("large work: reason %q", got)
	}
	for i := range 3 {
		if v := a.Admit(epoch, work(fmt.Sprint("small-", i), 50)); !v.Admit {
			t.Fatalf("small work %d declined: %+v", i, v)
		}
	}
	if got := a.Admit(epoch, work("small-3", 50)).Reason; got != Overtaking {
		t.Errorf("small work after the bound: reason %q", got)
	}
	urgent := work("urgent", 50)
	urgent.Priority = 1
	if v := a.Admit(epoch, urgent); !v.Admit {
		t.Errorf("urgent work was held back: %+v", v)
	}
	a.Finish("long", 50)
	if v := a.Admit(epoch, large); !v.Admit {
		t.Errorf("large work declined with memory free: %+v", v)
	}
	if v := a.Admit(epoch, work("small-4", 50)); !v.Admit {
		t.Errorf("small work declined after the large one was admitted: %+v", v)
	}
}

func TestAdmitDropsHeadAfterTimeout(t *testing.T) {
	s := NewSettings(10_000, ChoirsWeights())
	s.MaxPrefill = 0
	s.MaxOvertaken = 0
	a := trained(s, 50)
	a.Admit(epoch, work("long", 6000))
	a.Admit(epoch, work("large", 5000))
	if got := a.Admit(epoch, work("small", 50)).Reason; got != Overtaking {
		t.Fatalf("reason %q", got)
	}
	if v := a.Admit(epoch.Add(s.HeadTimeout), work("small", 50)); !v.Admit {
		t.Errorf("declined after the head's timeout: %+v", v)
	}
}

func TestVictims(t *testing.T) {
	// Each case fills 10,000 tokens with a generation that is near its end,
	// according to the lengths learned for its kind, and others.
	tests := []struct {
		name string
		rest []Work
		grow []int
		want string
	}{
		{
			"young generation before a long one near its end",
			[]Work{work("young", 2500), work("old", 1400)}, []int{10, 1500}, "young",
		},
		{
			"low priority first",
			[]Work{
				{ID: "high", Workspace: "w", Kind: "chat", PromptTokens: 2500, Priority: 4},
				{ID: "low", Workspace: "w", Kind: "chat", PromptTokens: 1400},
			},
			[]int{10, 1500},
			"low",
		},
		{
			"lowest preemption weight first",
			[]Work{
				{ID: "heavy", Workspace: "w", Kind: "chat", PromptTokens: 2500, Weights: Weights{Preemptions: 100}},
				{ID: "light", Workspace: "w", Kind: "chat", PromptTokens: 1400, Weights: Weights{Preemptions: 1}},
			},
			[]int{10, 1500},
			"light",
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := NewSettings(10_000, ChoirsWeights())
			a := New(s)
			for i := range 300 {
				id := strconv.Itoa(i)
				w := work(id, 1)
				w.Kind = "rota"
				a.Admit(epoch, w)
				a.Finish(id, 4000)
			}
			rota := work("rota", 100)
			rota.Kind = "rota"
			a.start(a.withWeights(rota))
			a.Progress("rota", 3900)
			for i, w := range tt.rest {
				a.start(a.withWeights(w))
				a.Progress(w.ID, tt.grow[i])
			}
			if got := a.Victims(epoch); len(got) != 0 {
				t.Fatalf("victims %v while memory suffices", got)
			}
			filler := work("filler", 10_000-a.Usage(epoch).Used-8)
			filler.Priority = 30
			a.start(a.withWeights(filler))
			if got := a.Victims(epoch.Add(time.Second)); len(got) != 1 || got[0] != tt.want {
				t.Errorf("victims %v, want %s", got, tt.want)
			}
		})
	}
}

func TestAdmitResumedFirst(t *testing.T) {
	s := NewSettings(10_000, ChoirsWeights())
	s.MaxPrefill = 0
	a := trained(s, 50)
	a.Admit(epoch, work("long", 6000))
	a.Admit(epoch, work("large", 5000))
	resumed := work("resumed", 4000)
	resumed.Resumed = 1000
	if got := a.Admit(epoch, resumed).Reason; got != Memory {
		t.Fatalf("resumed work: reason %q", got)
	}
	if got := a.Admit(epoch, work("small", 50)).Reason; got != Overtaking {
		t.Errorf("small work overtakes a resumed one: reason %q", got)
	}
	a.Finish("long", 50)
	if v := a.Admit(epoch, resumed); !v.Admit {
		t.Errorf("resumed work declined with memory free: %+v", v)
	}
}

func TestNewSettings(t *testing.T) {
	choirs := NewSettings(60_000, ChoirsWeights())
	association := NewSettings(60_000, AssociationWeights())
	if association.Risk >= choirs.Risk || association.MaxPrefill >= choirs.MaxPrefill {
		t.Errorf("choirs %+v, Association %+v", choirs, association)
	}
	if got := NewSettings(60_000, Weights{}); got.Risk <= association.Risk || got.Risk >= choirs.Risk {
		t.Errorf("no weights: %+v", got)
	}
}

func TestFinishAtMaxTokensIsLowerBound(t *testing.T) {
	a := New(NewSettings(100_000, ChoirsWeights()))
	for i := range 200 {
		w := work(strconv.Itoa(i), 1)
		w.MaxTokens = 100
		a.Admit(epoch, w)
		a.Finish(w.ID, 100)
	}
	w := work("x", 1)
	a.Admit(epoch, w)
	if p := a.byID["x"].tracker.Curve().Chance(0, 150); p < 0.5 {
		t.Errorf("chance to exceed a limit that cut off all earlier outputs is %.2f", p)
	}
}

func BenchmarkAdmit(b *testing.B) {
	a := New(NewSettings(60_000, ChoirsWeights()))
	for i := range 60 {
		a.start(work(strconv.Itoa(i), 500))
		a.Progress(strconv.Itoa(i), i*7)
	}
	blocks := make([]uint64, 30)
	for i := range blocks {
		blocks[i] = uint64(i + 1)
	}
	w := work("x", 500)
	w.Blocks = blocks
	now := epoch
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(5 * time.Millisecond)
		if a.Admit(now, w).Admit {
			a.Abandon("x")
		}
	}
}

func BenchmarkProgress(b *testing.B) {
	a := New(NewSettings(60_000, ChoirsWeights()))
	a.Admit(epoch, work("x", 500))
	b.ReportAllocs()
	for n := 1; b.Loop(); n++ {
		a.Progress("x", n)
	}
}

func BenchmarkNoVictims(b *testing.B) {
	a := New(NewSettings(60_000, ChoirsWeights()))
	a.Admit(epoch, work("x", 500))
	b.ReportAllocs()
	for b.Loop() {
		a.Victims(epoch)
	}
}
