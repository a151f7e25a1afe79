package admitter

import (
	"math"
	"sync"
	"time"

	"verbenareach/internal/length/estimator"
	"verbenareach/internal/length/forecaster"
	"verbenareach/internal/prompt/hasher"
)

// Reason says why work was declined.
type Reason string

// Reasons of verdicts.
const (
	// Admitted means that the work may start.
	Admitted Reason = ""
	// Memory means that memory would not suffice with the wanted probability.
	Memory Reason = "memory"
	// Batch means that the engine's batch is full.
	Batch Reason = "batch"
	// Prefill means that enough prompts are being computed.
	Prefill Reason = "prefill"
	// Overtaking means that it would overtake work that has waited long enough.
	Overtaking Reason = "overtaking"
	// TooLarge means that the work can never fit.
	TooLarge Reason = "tooLarge"
)

// resumeExponent raises the accepted risk for a work that was interrupted: to
// wait costs its caller more than it does others.
const resumeExponent = 0.25

// refreshAfter bounds the age of the forecast that admissions rest on.
const refreshAfter = 50 * time.Millisecond

const (
	// prefillRetry is when a prompt may find room: prompts are computed within a
	// few steps of the engine.
	prefillRetry = 10 * time.Millisecond
	// memoryRetry is when memory may have room: as generations end.
	memoryRetry = 100 * time.Millisecond
)

type (
	// Work is a generation that asks to be admitted.
	Work struct {
		// ID is unique among the generations of the engine.
		ID        string
		Workspace string
		Kind      string
		// PromptTokens includes the tokens of Blocks.
		PromptTokens int
		// Blocks are the hashes of the prompt's full blocks.
		Blocks []uint64
		// Resumed is how many output tokens the generation has already.
		Resumed int
		// MaxTokens bounds the output; 0 sets no bound.
		MaxTokens int
		Priority  int32
		// Weights of the workspace; the zero value stands for those of the settings.
		Weights Weights

		risk float64
	}

	// Account is the memory of an engine as its admitter keeps it, in tokens.
	Account struct {
		Running  int
		Total    int
		Used     int
		Expected int
	}

	// Verdict is the answer to Admit.
	Verdict struct {
		Admit  bool
		Reason Reason
		// Expected is the memory that is expected to be used at the peak, in
		// tokens, with this work if it is admitted.
		Expected int
		// RetryAfter is when another try may have a better chance.
		RetryAfter time.Duration
	}

	// Admitter keeps the account of one engine's memory. It is safe for
	// concurrent use.
	Admitter struct {
		settings Settings

		mu       sync.Mutex
		lengths  *estimator.Estimator
		prefixes prefixes
		works    map[string]*generation
		// order holds the works by admission, so that decisions do not depend
		// on the order of a map.
		order    []*generation
		used     int
		prefill  int
		computed time.Time
		running  forecaster.Forecast
		head     head
	}

	// generation is one admitted work.
	generation struct {
		Work
		tracker estimator.Tracker
		// tokens is the length of the output so far.
		tokens int
		// shared is how many of its blocks were in use before it.
		shared int
		// prefilling is the part of the prompt that counts as being computed.
		prefilling int
	}

	// head is the declined work that others must not overtake for ever.
	head struct {
		work      Work
		reason    Reason
		seen      time.Time
		overtaken int
	}
)

// New returns the admitter of an empty engine.
func New(s Settings) *Admitter {
	return &Admitter{
		settings: s,
		lengths:  estimator.New(estimator.DefaultMaxCurves),
		prefixes: newPrefixes(),
		works:    make(map[string]*generation),
	}
}

// Admit decides whether work may start at now; if so, the work counts until
// Finish or Abandon. A work that is admitted already stays so.
func (a *Admitter) Admit(now time.Time, w Work) Verdict {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.works[w.ID] != nil {
		return Verdict{Admit: true}
	}
	w = a.weighed(w)
	if w.PromptTokens+w.Resumed >= a.settings.MemoryTokens {
		return Verdict{Reason: TooLarge}
	}
	a.refresh(now)
	reason := a.judge(now, w)
	a.remember(now, w, reason)
	if reason != Admitted {
		return Verdict{Reason: reason, Expected: a.peak(), RetryAfter: reason.retryAfter()}
	}
	a.start(w)
	return Verdict{Admit: true, Expected: a.peak()}
}

// Abandon drops a work that came to no end here: it was cancelled or its
// engine was lost. Its length so far has been learned from.
func (a *Admitter) Abandon(id string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if g := a.works[id]; g != nil {
		a.drop(g)
	}
}

// Account returns how the memory stands at now.
func (a *Admitter) Account(now time.Time) Account {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.refresh(now)
	return Account{
		Running:  len(a.order),
		Total:    a.settings.MemoryTokens,
		Used:     a.used + a.prefixes.tokens(),
		Expected: a.peak(),
	}
}

// Finish tells that a work came to its own end with so many output tokens.
func (a *Admitter) Finish(id string, length int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	g := a.works[id]
	if g == nil {
		return
	}
	if g.MaxTokens > 0 && length >= g.MaxTokens {
		g.tracker.Grow(length)
	} else {
		g.tracker.Finish(length)
	}
	a.drop(g)
}

// Progress tells that a work has n output tokens. If it returns true, memory
// runs short: then Victims should be called.
func (a *Admitter) Progress(id string, n int) (short bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	g := a.works[id]
	if g == nil || n <= g.tokens {
		return false
	}
	a.used -= g.memory()
	g.tokens = n
	g.tracker.Grow(n)
	a.used += g.memory()
	a.prefill -= g.prefilling
	g.prefilling = 0
	return a.short(0)
}

// SetMemory takes the memory that the engine tells of, in tokens.
func (a *Admitter) SetMemory(tokens int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.settings.MemoryTokens = tokens
}

// SetWeights takes new weights, from which risk and the bound of prompts follow.
func (a *Admitter) SetWeights(w Weights) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.settings.Weights = w
	a.settings.Risk = w.risk()
	a.settings.MaxPrefill = w.maxPrefill()
}

// candidate returns the memory that a work would take now.
func (a *Admitter) candidate(w Work) int {
	shared := a.prefixes.sharedOf(w.Blocks)
	return blocksOf(w.PromptTokens+w.Resumed) - shared*hasher.BlockTokens
}

func (a *Admitter) drop(g *generation) {
	a.used -= g.memory()
	a.prefill -= g.prefilling
	a.prefixes.remove(g.Blocks, g.shared)
	delete(a.works, g.ID)
	for i, other := range a.order {
		if other == g {
			a.order = append(a.order[:i], a.order[i+1:]...)
			break
		}
	}
	a.computed = time.Time{}
}

// include adds a work that is not admitted to a forecast.
func (a *Admitter) include(f *forecaster.Forecast, w Work) {
	var alive forecaster.Chances
	a.chances(w, &alive)
	f.Add(a.candidate(w), atMost(w, w.Resumed), &alive)
}

func (a *Admitter) chances(w Work, alive *forecaster.Chances) {
	curve := a.lengths.Curve(estimator.Key{Workspace: w.Workspace, Kind: w.Kind})
	curve.Chances(w.Resumed, forecaster.Horizons[:], alive[:])
}

// judge decides on a work without changing anything.
func (a *Admitter) judge(now time.Time, w Work) Reason {
	var alive forecaster.Chances
	a.chances(w, &alive)
	prompt := a.candidate(w)
	bound := float64(a.settings.MemoryTokens - a.prefixes.tokens())
	risk := w.risk
	if w.Resumed > 0 {
		risk = math.Pow(risk, resumeExponent)
	}
	fits := func(f *forecaster.Forecast) bool {
		return f.Fits(prompt, atMost(w, w.Resumed), &alive, risk, bound)
	}
	switch {
	case len(a.order) >= a.settings.MaxBatch:
		return Batch
	case len(a.order) == 0:
		return Admitted
	case a.settings.MaxPrefill > 0 && a.prefill > 0 && a.prefill+prompt > a.settings.MaxPrefill:
		return Prefill
	case a.short(prompt) || !fits(&a.running):
		return Memory
	case a.headWaits(now, w):
		if a.head.reason == Prefill {
			return Overtaking
		}
		with := a.running
		a.include(&with, a.head.work)
		if !fits(&with) {
			return Overtaking
		}
	}
	return Admitted
}

// headWaits tells whether another work has been overtaken often enough.
func (a *Admitter) headWaits(now time.Time, w Work) bool {
	h := &a.head
	return h.work.ID != "" && h.work.ID != w.ID &&
		h.overtaken >= a.settings.MaxOvertaken &&
		w.Priority <= h.work.Priority &&
		now.Sub(h.seen) < a.settings.HeadTimeout
}

// peak returns the quantile of the memory at its peak.
func (a *Admitter) peak() int {
	return int(math.Ceil(a.running.Peak(a.settings.Risk))) + a.prefixes.tokens()
}

// refresh computes the forecast anew when it is too old.
func (a *Admitter) refresh(now time.Time) {
	if !a.computed.IsZero() && now.Sub(a.computed) < refreshAfter {
		return
	}
	a.running = forecaster.Forecast{}
	var alive forecaster.Chances
	for _, g := range a.order {
		g.tracker.Curve().Chances(g.tokens, forecaster.Horizons[:], alive[:])
		a.running.Add(g.memory(), atMost(g.Work, g.tokens), &alive)
	}
	a.computed = now
}

// remember keeps the place of a work that was declined for its size, and
// counts those that overtake it. One that was running before goes first, and
// nothing overtakes it.
func (a *Admitter) remember(now time.Time, w Work, reason Reason) {
	h := &a.head
	if now.Sub(h.seen) >= a.settings.HeadTimeout {
		*h = head{}
	}
	declined := reason == Memory || reason == Prefill
	resumes := w.Resumed > 0 && h.work.Resumed == 0
	switch {
	case declined && (h.work.ID == "" || h.work.ID == w.ID || resumes):
		h.work = w
		h.reason = reason
		h.seen = now
		if w.Resumed > 0 {
			h.overtaken = a.settings.MaxOvertaken
		}
	case reason != Admitted || h.work.ID == "":
	case h.work.ID == w.ID:
		*h = head{}
	default:
		h.overtaken++
	}
}

// short tells whether memory runs out if so many tokens are added.
func (a *Admitter) short(more int) bool {
	slack := len(a.order) * a.settings.Slack
	return a.used+a.prefixes.tokens()+slack+more > a.settings.MemoryTokens
}

func (a *Admitter) start(w Work) {
	g := &generation{
		Work:       w,
		tracker:    a.lengths.Track(estimator.Key{Workspace: w.Workspace, Kind: w.Kind}, w.Resumed),
		tokens:     w.Resumed,
		prefilling: a.candidate(w),
	}
	a.include(&a.running, w)
	g.shared = a.prefixes.add(w.Blocks)
	a.used += g.memory()
	a.prefill += g.prefilling
	a.works[w.ID] = g
	a.order = append(a.order, g)
}

// weighed fills in what the work's weights decide.
func (a *Admitter) weighed(w Work) Work {
	if w.Weights == (Weights{}) {
		w.Weights, w.risk = a.settings.Weights, a.settings.Risk
		return w
	}
	w.risk = w.Weights.risk()
	return w
}

// memory returns the tokens of memory that the generation holds alone.
func (g *generation) memory() int {
	return blocksOf(g.PromptTokens+g.tokens) - g.shared*hasher.BlockTokens
}

// atMost returns how much a work that has n tokens may still grow.
func atMost(w Work, n int) int {
	if w.MaxTokens <= 0 {
		return math.MaxInt
	}
	return w.MaxTokens - n
}

// blocksOf rounds tokens, and the next one, up to whole blocks.
func blocksOf(tokens int) int {
	return (tokens/hasher.BlockTokens + 1) * hasher.BlockTokens
}

// retryAfter returns when another try may have a better chance.
func (r Reason) retryAfter() time.Duration {
	if r == Prefill {
		return prefillRetry
	}
	return memoryRetry
}
