package emulator

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"verbenareach/internal/prompt/hasher"
)

var testNow = time.Unix(1_700_000_000, 0)

// smallParameters returns the settings of an engine with memory for few requests, so that
// preemptions happen.
func smallParameters() Parameters {
	p := DefaultParameters()
	p.MemoryTokens = 1024
	p.MaxBatch = 8
	return p
}

func properties(seed int64) *gopter.Properties {
	params := gopter.DefaultTestParametersWithSeed(seed)
	params.MinSuccessfulTests = 60
	return gopter.NewProperties(params)
}

// randomRequests draws requests, some of which share a prompt prefix.
func randomRequests(r *rand.Rand, n int) []Request {
	list := make([]Request, n)
	for i := range list {
		blocks := make([]uint64, r.IntN(6))
		family := r.Uint64N(3)
		for k := range blocks {
			blocks[k] = family<<32 | uint64(k) + 1
		}
		list[i] = Request{
			ID:           uint64(i + 1),
			PromptTokens: len(blocks)*hasher.BlockTokens + r.IntN(hasher.BlockTokens),
			Blocks:       blocks,
			Length:       1 + r.IntN(400),
			Priority:     int32(r.IntN(2)),
		}
		list[i].Resumed = r.IntN(list[i].Length)
	}
	return list
}

// checkMemory reports whether the cache's counts agree with the blocks of the running
// sequences and fit in memory.
func checkMemory(e *Engine) bool {
	private, refs := 0, make(map[uint64]int)
	for _, s := range e.running {
		private += s.private
		for _, h := range s.Blocks {
			refs[h]++
		}
	}
	for h, b := range e.cache.shared {
		if b.refs != refs[h] || (b.idleElement == nil) != (b.refs > 0) {
			return false
		}
	}
	return private == e.cache.private && e.cache.free() >= 0
}

func TestEngineTokens(t *testing.T) {
	ps := properties(1)
	ps.Property("each request gets each token once and in order, within memory", prop.ForAll(
		func(seed uint64) bool {
			r := rand.New(rand.NewPCG(seed, 1))
			e := New(smallParameters())
			next := make(map[uint64]int)
			ends := make(map[uint64]int)
			cancelled := make(map[uint64]bool)
			for _, req := range randomRequests(r, 30) {
				next[req.ID] = req.Resumed
				ends[req.ID] = req.Length
				if !e.Submit(req) {
					return false
				}
			}
			now := testNow
			for step := 0; !e.Idle(); step++ {
				if step > 20_000 {
					return false
				}
				if id := 1 + r.Uint64N(30); r.IntN(100) == 0 && !cancelled[id] {
					cancelled[id] = e.Cancel(id)
				}
				done := e.Step(now)
				now = now.Add(done.Took)
				for _, tok := range done.Tokens {
					if tok.Index != next[tok.ID] || cancelled[tok.ID] || tok.Last != (tok.Index == ends[tok.ID]-1) {
						return false
					}
					next[tok.ID]++
				}
				if !checkMemory(e) {
					return false
				}
			}
			for id, n := range next {
				if n != ends[id] && !cancelled[id] {
					return false
				}
			}
			return e.cache.private == 0 && e.cache.used() == 0
		}, gen.UInt64()))
	ps.TestingRun(t)
}

func TestEnginePreemptsLowestPriorityFirst(t *testing.T) {
	p := smallParameters()
	e := New(p)
	for id := uint64(1); id <= 4; id++ {
		priority := int32(0)
		if id == 4 {
			priority = 1
		}
		if !e.Submit(Request{ID: id, PromptTokens: 10, Length: 900, Priority: priority}) {
			t.Fatalf("request %d refused", id)
		}
	}
	now := testNow
	preempted := make(map[uint64]int)
	var firstFinished uint64
	for !e.Idle() {
		step := e.Step(now)
		now = now.Add(step.Took)
		for _, id := range step.Preempted {
			preempted[id]++
		}
		for _, tok := range step.Tokens {
			if tok.Last && firstFinished == 0 {
				firstFinished = tok.ID
			}
		}
	}
	if preempted[4] != 0 || firstFinished != 4 {
		t.Errorf("the request of high priority was preempted %d times, first finished: request %d", preempted[4], firstFinished)
	}
	if preempted[3] == 0 {
		t.Error("the youngest request of low priority was never preempted")
	}
	if load := e.Load(now.Add(p.LoadLag)); load.Preemptions == 0 || load.Stalled == 0 {
		t.Errorf("load reports no preemption: %+v", load)
	}
}

func TestEngineRefusesRequestsThatNeverFit(t *testing.T) {
	e := New(smallParameters())
	if e.Submit(Request{ID: 1, PromptTokens: 1000, Length: 100}) {
		t.Error("a request larger than the memory was accepted")
	}
}

func TestPrefixCache(t *testing.T) {
	p := smallParameters()
	p.CacheEventLoss = 0
	e := New(p)
	blocks := []uint64{11, 12, 13}
	run := func(r Request) time.Duration {
		t.Helper()
		if !e.Submit(r) {
			t.Fatalf("request %d refused", r.ID)
		}
		var took time.Duration
		for !e.Idle() {
			took += e.Step(testNow).Took
		}
		return took
	}
	cold := run(Request{ID: 1, PromptTokens: 50, Blocks: blocks, Length: 1})
	if got := e.CachedTokens(blocks); got != 48 {
		t.Errorf("cached tokens %d, want 48", got)
	}
	if warm := run(Request{ID: 2, PromptTokens: 50, Blocks: blocks, Length: 1}); warm >= cold {
		t.Errorf("warm prompt took %v, cold one %v", warm, cold)
	}
	run(Request{ID: 3, PromptTokens: 10, Length: 1000})
	if got := e.CachedTokens(blocks); got == 48 {
		t.Error("no block was evicted under memory pressure")
	}
	if events := e.Events(testNow, 0); len(events) != 0 {
		t.Errorf("events visible before their lag: %v", events)
	}
	var stored, evicted int
	for _, ev := range e.Events(testNow.Add(time.Hour), 0) {
		stored += len(ev.Stored)
		evicted += len(ev.Evicted)
	}
	if stored != 3 || evicted == 0 {
		t.Errorf("stored %d, evicted %d", stored, evicted)
	}
}

func TestLoadReportLag(t *testing.T) {
	e := New(smallParameters())
	e.Submit(Request{ID: 1, PromptTokens: 100, Length: 500})
	now := testNow
	for range 100 {
		now = now.Add(e.Step(now).Took)
	}
	l := e.Load(now)
	if age := now.Sub(l.ReportedAt); age < e.params.LoadLag {
		t.Errorf("report is %v old, want at least %v", age, e.params.LoadLag)
	}
	if l.Running != 1 || l.MemoryUsed == 0 {
		t.Errorf("load %+v", l)
	}
}

func TestCacheEventLoss(t *testing.T) {
	p := smallParameters()
	p.CacheEventLoss = 0.5
	e := New(p)
	for id := uint64(1); id <= 40; id++ {
		e.Submit(Request{ID: id, PromptTokens: 16, Blocks: []uint64{id}, Length: 1})
		for !e.Idle() {
			e.Step(testNow)
		}
	}
	events := e.Events(testNow.Add(time.Hour), 0)
	if len(events) == 0 || len(events) >= 40 {
		t.Errorf("%d events of 40, want some lost", len(events))
	}
}
