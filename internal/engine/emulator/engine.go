package emulator

import (
	"slices"
	"time"

	"verbenareach/internal/prompt/hasher"
)

type (
	// Request is one generation for an Engine. Its Length is known to the
	// engine only by reaching it.
	Request struct {
		// ID is unique among the requests of the engine.
		ID uint64
		// PromptTokens includes the tokens of Blocks.
		PromptTokens int
		// Blocks are the hashes of the prompt's full blocks.
		Blocks []uint64
		// Resumed is how many output tokens were generated elsewhere already.
		Resumed int
		// Length is the number of output tokens, Resumed included.
		Length int
		// Priority: higher is served first and preempted last.
		Priority int32
	}

	// Token is the next output token of a request.
	Token struct {
		ID uint64
		// Index counts the request's output tokens from 0.
		Index int
		// Last tells that the request ends with this token.
		Last bool
	}

	// Step is what one step of the engine did.
	Step struct {
		// Took is the time that the step needs: its tokens exist after it.
		Took time.Duration
		// Tokens holds one token of each request that got one. The next step
		// overwrites it.
		Tokens []Token
		// Preempted are the requests that lost their memory and wait again.
		Preempted []uint64
	}

	// Engine models one engine. It isn't safe for concurrent use.
	Engine struct {
		params  Parameters
		cache   *blockCache
		waiting []*sequence
		running []*sequence
		// arrivals numbers the requests in the order of their arrival.
		arrivals uint64
		reports  reporter
		tokens   []Token
		// computed counts prompt tokens computed, cached those found.
		computed int
		cached   int
	}

	sequence struct {
		Request
		arrival   uint64
		generated int
		// pending is how many tokens have to be computed before the next output.
		pending int
		// private is the number of blocks of its own; -1 while it is not running.
		private   int
		preempted bool
	}
)

// New returns an empty engine.
func New(p Parameters) *Engine {
	return &Engine{
		params:  p,
		cache:   newBlockCache(p.blocks()),
		reports: reporter{params: p},
	}
}

// CachedTokens returns how many of a prompt's tokens are in the prefix cache.
func (e *Engine) CachedTokens(blocks []uint64) int {
	return e.cache.hits(blocks) * hasher.BlockTokens
}

// Cancel drops a request and frees its memory; false if it is not there.
func (e *Engine) Cancel(id uint64) bool {
	if i := indexOf(e.waiting, id); i >= 0 {
		e.waiting = slices.Delete(e.waiting, i, i+1)
		return true
	}
	if i := indexOf(e.running, id); i >= 0 {
		e.leave(e.running[i])
		return true
	}
	return false
}

// Events returns the cache events after a sequence number that are visible at now.
func (e *Engine) Events(now time.Time, after uint64) []CacheEvent {
	return e.reports.eventsAfter(now, after)
}

// Idle tells whether there is nothing to do.
func (e *Engine) Idle() bool {
	return len(e.running) == 0 && len(e.waiting) == 0
}

// Load returns the youngest load report that is visible at now.
func (e *Engine) Load(now time.Time) Load {
	e.report(now)
	return e.reports.load(now)
}

// Step runs one step that starts at now.
func (e *Engine) Step(now time.Time) Step {
	e.tokens = e.tokens[:0]
	var step Step
	e.schedule()
	prefilled := e.prefill()
	context := 0
	decoded := e.decodable()
	for _, s := range decoded {
		if s.private < 0 {
			continue // Preempted for the sake of an earlier one in this step.
		}
		if !e.makeRoom(s, &step) {
			continue
		}
		s.generated++
		s.preempted = false
		context += s.PromptTokens + s.generated
		last := s.generated >= s.Length
		e.tokens = append(e.tokens, Token{ID: s.ID, Index: s.generated - 1, Last: last})
		if last {
			e.leave(s)
		}
	}
	step.Tokens = e.tokens
	step.Took = e.params.StepBase +
		time.Duration(len(e.tokens))*e.params.StepPerSequence +
		time.Duration(context)*e.params.StepPerKiloToken/1024 +
		time.Duration(prefilled)*e.params.PrefillPerToken
	e.account(step.Took)
	e.report(now.Add(step.Took))
	return step
}

// Submit queues a request. One that can never fit is refused with false.
func (e *Engine) Submit(r Request) bool {
	if blocksFor(r.PromptTokens+r.Length) > e.params.blocks() {
		return false
	}
	e.arrivals++
	s := &sequence{Request: r, arrival: e.arrivals, generated: r.Resumed}
	e.enqueue(s)
	return true
}

// account adds the time that preempted requests spent waiting.
func (e *Engine) account(took time.Duration) {
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

// decodable returns the running requests whose context is computed, the one to
// be preempted last first.
func (e *Engine) decodable() []*sequence {
	ready := make([]*sequence, 0, len(e.running))
	for _, s := range e.running {
		if s.pending == 0 {
			ready = append(ready, s)
		}
	}
	slices.SortFunc(ready, compare)
	return ready
}

func (e *Engine) enqueue(s *sequence) {
	i, _ := slices.BinarySearchFunc(e.waiting, s, compare)
	e.waiting = slices.Insert(e.waiting, i, s)
}

// leave takes s out of the batch and frees its memory.
func (e *Engine) leave(s *sequence) {
	e.cache.release(s.Blocks, s.private)
	s.private = -1
	i := indexOf(e.running, s.ID)
	e.running = slices.Delete(e.running, i, i+1)
}

// makeRoom gives s a block for its next token, by preemption where none is
// free. It returns false if s itself was preempted.
func (e *Engine) makeRoom(s *sequence, step *Step) bool {
	context := s.PromptTokens + s.generated + 1
	for blocksFor(context) > len(s.Blocks)+s.private {
		if e.cache.grow() {
			s.private++
			continue
		}
		victim := slices.MaxFunc(e.running, compare)
		e.preempt(victim)
		step.Preempted = append(step.Preempted, victim.ID)
		if victim == s {
			return false
		}
	}
	return true
}

func (e *Engine) preempt(s *sequence) {
	e.leave(s)
	s.preempted = true
	e.reports.preemptions++
	e.enqueue(s)
}

// prefill computes waiting context, first come first, up to the bound of a step.
func (e *Engine) prefill() int {
	left := e.params.PrefillPerStep
	for _, s := range e.running {
		n := min(s.pending, left)
		s.pending -= n
		left -= n
	}
	done := e.params.PrefillPerStep - left
	e.computed += done
	return done
}

func (e *Engine) report(now time.Time) {
	e.reports.sample(now, Load{
		Running:     len(e.running),
		Waiting:     len(e.waiting),
		MemoryTotal: e.params.MemoryTokens,
		MemoryUsed:  e.cache.used() * hasher.BlockTokens,
		Preemptions: e.reports.preemptions,
		Stalled:     e.reports.stalled,
	})
	stored, evicted := e.cache.drain()
	e.reports.publish(now, stored, evicted)
}

// schedule moves waiting requests into the batch while the first one fits.
func (e *Engine) schedule() {
	for len(e.waiting) > 0 && len(e.running) < e.params.MaxBatch {
		s := e.waiting[0]
		context := s.PromptTokens + s.generated
		private := blocksFor(context+1) - len(s.Blocks)
		hits := e.cache.hits(s.Blocks) * hasher.BlockTokens
		if !e.cache.acquire(s.Blocks, private) {
			return
		}
		s.private = private
		s.pending = max(context-hits, 1)
		e.cached += hits
		e.waiting = e.waiting[1:]
		e.running = append(e.running, s)
	}
}

// compare orders requests by who is served first and preempted last.
func compare(a, b *sequence) int {
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
