package emulator

import (
	"slices"
	"time"

	"verbenareach/internal/prompt/hasher"
)

type (
	// Request is one generation for an Engine. Apart from the check in Submit, the
	// engine uses Length only to detect the end of the output.
	Request struct {
		// ID is unique among the requests of the engine.
		ID uint64
		// PromptTokens includes the tokens of Blocks.
		PromptTokens int
		// Blocks holds the hashes of the prompt's full blocks.
		Blocks []uint64
		// Resumed is the number of output tokens that an earlier attempt generated.
		Resumed int
		// Length is the number of output tokens, Resumed included.
		Length int
		// Priority ranks the request: a higher one is served first and preempted last.
		Priority int32
	}

	// Token is the next output token of a request.
	Token struct {
		ID uint64
		// Index counts the request's output tokens from 0.
		Index int
		// Last is true for the request's final token.
		Last bool
	}

	// Step is the result of one step of the engine.
	Step struct {
		// Took is the duration of the step, after which its tokens exist.
		Took time.Duration
		// Tokens holds one token of each request that generated one. The next step
		// overwrites it.
		Tokens []Token
		// Preempted holds the IDs of the requests whose memory was freed and that wait
		// again.
		Preempted []uint64
	}

	// Engine simulates one model engine. It isn't safe for concurrent use.
	Engine struct {
		params  Parameters
		cache   *blockCache
		waiting []*sequence
		running []*sequence
		// arrivals counts the submitted requests; the count is a request's arrival.
		arrivals uint64
		reports  reporter
		tokens   []Token
		// prefilledTokens counts the tokens of context computed, cachedTokens the prompt
		// tokens found in the prefix cache.
		prefilledTokens int
		cachedTokens    int
	}

	sequence struct {
		Request
		arrival   uint64
		generated int
		// pending is the number of tokens to prefill before the next output token.
		pending int
		// private is the number of private blocks; -1 while the sequence isn't running.
		private   int
		preempted bool
	}
)

// New returns an idle engine with an empty cache.
func New(p Parameters) *Engine {
	return &Engine{
		params:  p,
		cache:   newBlockCache(p.blocks()),
		reports: reporter{params: p},
	}
}

// CachedTokens returns how many of a prompt's tokens are in the prefix cache.
func (e *Engine) CachedTokens(blocks []uint64) int {
	return e.cache.cachedPrefix(blocks) * hasher.BlockTokens
}

// Cancel removes a request and frees its memory. It reports whether the engine had it.
func (e *Engine) Cancel(id uint64) bool {
	if i := indexOf(e.waiting, id); i >= 0 {
		e.waiting = slices.Delete(e.waiting, i, i+1)
		return true
	}
	if i := indexOf(e.running, id); i >= 0 {
		e.remove(e.running[i])
		return true
	}
	return false
}

// Events returns the cache events with a sequence number above after that are
// visible at now.
func (e *Engine) Events(now time.Time, after uint64) []CacheEvent {
	return e.reports.eventsAfter(now, after)
}

// Idle reports whether no request is running or waiting.
func (e *Engine) Idle() bool {
	return len(e.running) == 0 && len(e.waiting) == 0
}

// Load returns the latest load report that is visible at now.
func (e *Engine) Load(now time.Time) Load {
	e.publishReports(now)
	return e.reports.load(now)
}

// Step runs one step that starts at now: it admits waiting requests to the batch,
// prefills pending context and generates one token for each request whose context
// is computed.
func (e *Engine) Step(now time.Time) Step {
	e.tokens = e.tokens[:0]
	var step Step
	e.schedule()
	prefilled := e.prefill()
	context := 0
	decoded := e.decodable()
	for _, s := range decoded {
		if s.private < 0 {
			continue // Preempted earlier in this step, to free a block for another sequence.
		}
		if !e.allocateBlock(s, &step) {
			continue
		}
		s.generated++
		s.preempted = false
		context += s.PromptTokens + s.generated
		last := s.generated >= s.Length
		e.tokens = append(e.tokens, Token{ID: s.ID, Index: s.generated - 1, Last: last})
		if last {
			e.remove(s)
		}
	}
	step.Tokens = e.tokens
	step.Took = e.params.StepBase +
		time.Duration(len(e.tokens))*e.params.StepPerSequence +
		time.Duration(context)*e.params.StepPerKiloToken/1024 +
		time.Duration(prefilled)*e.params.PrefillPerToken
	e.addStallTime(step.Took)
	e.publishReports(now.Add(step.Took))
	return step
}

// Submit queues a request. It returns false and drops the request if it can never
// fit in memory.
func (e *Engine) Submit(r Request) bool {
	if blocksFor(r.PromptTokens+r.Length) > e.params.blocks() {
		return false
	}
	e.arrivals++
	s := &sequence{Request: r, arrival: e.arrivals, generated: r.Resumed}
	e.enqueue(s)
	return true
}

// addStallTime adds the duration of a step to the stall time of each preempted
// request.
func (e *Engine) addStallTime(took time.Duration) {
	for _, s := range e.waiting {
		if s.preempted {
			e.reports.stalled += took
		}
	}
	for _, s := range e.running {
		if s.preempted {
			e.reports.stalled += took
		}
	}
}

// decodable returns the running requests whose context is computed, in the order
// of compareRank.
func (e *Engine) decodable() []*sequence {
	ready := make([]*sequence, 0, len(e.running))
	for _, s := range e.running {
		if s.pending == 0 {
			ready = append(ready, s)
		}
	}
	slices.SortFunc(ready, compareRank)
	return ready
}

func (e *Engine) enqueue(s *sequence) {
	i, _ := slices.BinarySearchFunc(e.waiting, s, compareRank)
	e.waiting = slices.Insert(e.waiting, i, s)
}

// remove removes s from the batch and frees its memory.
func (e *Engine) remove(s *sequence) {
	e.cache.release(s.Blocks, s.private)
	s.private = -1
	i := indexOf(e.running, s.ID)
	e.running = slices.Delete(e.running, i, i+1)
}

// allocateBlock ensures that s has a block for its next token. While no block is
// free or idle it preempts the lowest-ranking request. It returns false if s itself
// was preempted.
func (e *Engine) allocateBlock(s *sequence, step *Step) bool {
	context := s.PromptTokens + s.generated + 1
	for blocksFor(context) > len(s.Blocks)+s.private {
		if e.cache.allocatePrivate() {
			s.private++
			continue
		}
		victim := slices.MaxFunc(e.running, compareRank)
		e.preempt(victim)
		step.Preempted = append(step.Preempted, victim.ID)
		if victim == s {
			return false
		}
	}
	return true
}

func (e *Engine) preempt(s *sequence) {
	e.remove(s)
	s.preempted = true
	e.reports.preemptions++
	e.enqueue(s)
}

// prefill computes pending context in batch order, at most PrefillPerStep tokens. It
// returns the number computed.
func (e *Engine) prefill() int {
	left := e.params.PrefillPerStep
	for _, s := range e.running {
		n := min(s.pending, left)
		s.pending -= n
		left -= n
	}
	done := e.params.PrefillPerStep - left
	e.prefilledTokens += done
	return done
}

func (e *Engine) publishReports(now time.Time) {
	e.reports.sample(now, Load{
		Running:     len(e.running),
		Waiting:     len(e.waiting),
		MemoryTotal: e.params.MemoryTokens,
		MemoryUsed:  e.cache.used() * hasher.BlockTokens,
		Preemptions: e.reports.preemptions,
		Stalled:     e.reports.stalled,
	})
	stored, evicted := e.cache.takeChanges()
	e.reports.publish(now, stored, evicted)
}

// schedule admits waiting requests to the batch, in order, until it is full or the
// next request doesn't fit in memory.
func (e *Engine) schedule() {
	for len(e.waiting) > 0 && len(e.running) < e.params.MaxBatch {
		s := e.waiting[0]
		context := s.PromptTokens + s.generated
		private := blocksFor(context+1) - len(s.Blocks)
		hits := e.cache.cachedPrefix(s.Blocks) * hasher.BlockTokens
		if !e.cache.acquire(s.Blocks, private) {
			return
		}
		s.private = private
		s.pending = max(context-hits, 1)
		e.cachedTokens += hits
		e.waiting = e.waiting[1:]
		e.running = append(e.running, s)
	}
}

// compareRank orders sequences by priority, then arrival: the first in order is
// served first and preempted last.
func compareRank(a, b *sequence) int {
	if a.Priority != b.Priority {
		return int(b.Priority) - int(a.Priority)
	}
	if a.arrival < b.arrival {
		return -1
	}
	if a.arrival > b.arrival {
		return 1
	}
	return 0
}

func indexOf(list []*sequence, id uint64) int {
	return slices.IndexFunc(list, func(s *sequence) bool { return s.ID == id })
}
