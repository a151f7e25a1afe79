package admitter

import (
	"math"
	"sync"
	"time"

	"verbenareach/internal/length/estimator"
	"verbenareach/internal/length/forecaster"
	"verbenareach/internal/prompt/hasher"
)

// Reason is why a generation was declined; empty if it was admitted.
type Reason string

// Reasons of verdicts.
const (
	// Admitted means that the generation may start.
	Admitted Reason = ""
	// Memory means that the chance of running out of memory would be too high.
	Memory Reason = "memory"
	// Batch means that the engine's batch is full.
	Batch Reason = "batch"
	// Prefill means that the limit on concurrent prefill would be exceeded.
	Prefill Reason = "prefill"
	// Overtaking means that the head of the line has been overtaken too often
	// already, and this generation would delay it further.
	Overtaking Reason = "overtaking"
	// TooLarge means that the prompt and the output of earlier attempts alone fill
	// the engine's whole memory.
	TooLarge Reason = "tooLarge"
)

// resumeExponent is the power to which the accepted risk is raised for a resumed
// generation. It increases the risk, because the caller suffers more from waiting
// than others do.
const resumeExponent = 0.25

// maxForecastAge is the age at which the forecast used for admission is recomputed.
const maxForecastAge = 50 * time.Millisecond

const (
	// prefillRetry is short because prefill takes only a few engine steps.
	prefillRetry = 10 * time.Millisecond
	// memoryRetry is longer because memory becomes free only when generations end.
	memoryRetry = 100 * time.Millisecond
)

type (
	// Work is a generation offered for admission.
	Work struct {
		// ID is unique among the generations of the engine.
		ID        string
		Workspace string
		Kind      string
		// PromptTokens includes the tokens of Blocks.
		PromptTokens int
		// Blocks are the hashes of the prompt's full blocks.
		Blocks []uint64
		// Resumed is the number of output tokens made by earlier attempts.
		Resumed int
		// MaxTokens bounds the output, Resumed included; 0 sets no bound.
		MaxTokens int
		// Priority is higher for generations that are preempted later. A higher one
		// than that of the head of the line may always overtake it.
		Priority int32
		// Weights are those of the workspace; the zero value means Settings.Weights.
		Weights Weights

		// risk is the accepted risk that follows from Weights.
		risk float64
	}

	// Usage is the admitter's own count of an engine's memory. Running counts
	// generations; the other fields are in tokens.
	Usage struct {
		Running int
		Total   int
		Used    int
		// Expected is the forecast peak of Used.
		Expected int
	}

	// Verdict is the result of Admit.
	Verdict struct {
		Admit  bool
		Reason Reason
		// Expected is the forecast peak of the memory in use, in tokens,
		// including this generation if it is admitted. It is 0 for TooLarge and for
		// a generation that was admitted before.
		Expected int
		// RetryAfter is how long to wait before the next try; 0 if the generation
		// was admitted or is TooLarge.
		RetryAfter time.Duration
	}

	// Admitter tracks the memory of one engine and admits generations by it. It
	// is safe for concurrent use.
	Admitter struct {
		settings Settings

		// mu guards all fields, settings included.
		mu       sync.Mutex
		lengths  *estimator.Estimator
		prefixes prefixes
		byID     map[string]*generation
		// byAdmission holds the generations in order of admission, so that
		// decisions do not depend on map iteration order.
		byAdmission []*generation
		// used is the sum of the generations' memory, in tokens; the memory of
		// prefixes comes on top.
		used int
		// prefill is the sum of the generations' prefilling, in tokens.
		prefill int
		// forecastAt is when forecast was computed; zero if it has to be recomputed.
		forecastAt time.Time
		// forecast covers the growth of the generations, without prefixes.
		forecast forecaster.Forecast
		head     head
	}

	// generation is an admitted Work.
	generation struct {
		Work
		tracker estimator.Tracker
		// tokens is the length of the output so far, earlier attempts included.
		tokens int
		// sharedBlocks is how many of its prompt blocks were in use at admission.
		sharedBlocks int
		// prefilling is the memory in tokens that counts towards MaxPrefill; 0
		// after the first new token.
		prefilling int
	}

	// head is the declined generation at the head of the line. It prevents
	// starvation: only a limited number of others may overtake it. Further declined
	// generations are not remembered. The zero value means that there is no head.
	head struct {
		work   Work
		reason Reason
		// declinedAt is when it was last declined.
		declinedAt time.Time
		// overtaken counts the generations admitted since it became the head.
		overtaken int
	}
)

// New returns the admitter of an empty engine.
func New(s Settings) *Admitter {
	return &Admitter{
		settings: s,
		lengths:  estimator.New(estimator.DefaultMaxCurves),
		prefixes: newPrefixes(),
		byID:     make(map[string]*generation),
	}
}

// Admit decides whether a generation may start at now. An admitted generation
// counts until Finish, Abandon or Victims drops it; admitting it again before
// changes nothing.
func (a *Admitter) Admit(now time.Time, w Work) Verdict {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.byID[w.ID] != nil {
		return Verdict{Admit: true}
	}
	w = a.withWeights(w)
	if w.PromptTokens+w.Resumed >= a.settings.MemoryTokens {
		return Verdict{Reason: TooLarge}
	}
	a.refresh(now)
	reason := a.decide(now, w)
	a.updateHead(now, w, reason)
	if reason != Admitted {
		return Verdict{Reason: reason, Expected: a.peak(), RetryAfter: reason.retryAfter()}
	}
	a.start(w)
	return Verdict{Admit: true, Expected: a.peak()}
}

// Abandon drops a generation that was cancelled or whose engine was lost. The
// length estimator has already counted its tokens so far.
func (a *Admitter) Abandon(id string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if g := a.byID[id]; g != nil {
		a.drop(g)
	}
}

// Usage returns the memory in use and forecast at now.
func (a *Admitter) Usage(now time.Time) Usage {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.refresh(now)
	return Usage{
		Running:  len(a.byAdmission),
		Total:    a.settings.MemoryTokens,
		Used:     a.used + a.prefixes.tokens(),
		Expected: a.peak(),
	}
}

// Finish drops a generation that is complete with length output tokens, those of
// earlier attempts included, and records the length. One that reaches MaxTokens is
// recorded as a lower bound only, because the output may have been cut off.
func (a *Admitter) Finish(id string, length int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	g := a.byID[id]
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

// Progress records that a generation has n output tokens, those of earlier attempts
// included. It reports whether memory runs short; the caller then calls Victims.
func (a *Admitter) Progress(id string, n int) (short bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	g := a.byID[id]
	if g == nil || n <= g.tokens {
		return false
	}
	a.used -= g.memory()
	g.tokens = n
	g.tracker.Grow(n)
	a.used += g.memory()
	a.prefill -= g.prefilling
	g.prefilling = 0
	return a.memoryShort(0)
}

// SetMemory sets the size of the engine's memory, in tokens.
func (a *Admitter) SetMemory(tokens int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.settings.MemoryTokens = tokens
}

// SetWeights sets the default weights and the risk and prefill limit derived from them.
func (a *Admitter) SetWeights(w Weights) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.settings.Weights = w
	a.settings.Risk = w.risk()
	a.settings.MaxPrefill = w.maxPrefill()
}

// memoryFor returns the memory that a generation needs at its start, in tokens.
func (a *Admitter) memoryFor(w Work) int {
	shared := a.prefixes.sharedPrefix(w.Blocks)
	return roundUpToBlocks(w.PromptTokens+w.Resumed) - shared*hasher.BlockTokens
}

// drop removes a generation from all counts and invalidates the forecast.
func (a *Admitter) drop(g *generation) {
	a.used -= g.memory()
	a.prefill -= g.prefilling
	a.prefixes.remove(g.Blocks, g.sharedBlocks)
	delete(a.byID, g.ID)
	for i, other := range a.byAdmission {
		if other == g {
			a.byAdmission = append(a.byAdmission[:i], a.byAdmission[i+1:]...)
			break
		}
	}
	a.forecastAt = time.Time{}
}

// addToForecast adds a generation that is not admitted to a forecast.
func (a *Admitter) addToForecast(f *forecaster.Forecast, w Work) {
	var survival forecaster.Chances
	a.survivalChances(w, &survival)
	f.Add(a.memoryFor(w), maxGrowth(w, w.Resumed), &survival)
}

// survivalChances fills survival with the chances that a generation that is not
// admitted still runs at each of forecaster.Horizons.
func (a *Admitter) survivalChances(w Work, survival *forecaster.Chances) {
	curve := a.lengths.Curve(estimator.Key{Workspace: w.Workspace, Kind: w.Kind})
	curve.Chances(w.Resumed, forecaster.Horizons[:], survival[:])
}

// decide returns the admission decision for a generation. It changes neither the
// admitted generations nor the head of the line.
func (a *Admitter) decide(now time.Time, w Work) Reason {
	var survival forecaster.Chances
	a.survivalChances(w, &survival)
	needed := a.memoryFor(w)
	bound := float64(a.settings.MemoryTokens - a.prefixes.tokens())
	risk := w.risk
	if w.Resumed > 0 {
		risk = math.Pow(risk, resumeExponent)
	}
	demand := forecaster.NewDemand(needed, maxGrowth(w, w.Resumed), &survival, risk)
	fits := func(f *forecaster.Forecast) bool { return f.Fits(&demand, bound) }
	switch {
	case len(a.byAdmission) >= a.settings.MaxBatch:
		return Batch
	case len(a.byAdmission) == 0:
		return Admitted
	case a.settings.MaxPrefill > 0 && a.prefill > 0 && a.prefill+needed > a.settings.MaxPrefill:
		return Prefill
	case a.memoryShort(needed) || !fits(&a.forecast):
		return Memory
	case a.headBlocks(now, w):
		if a.head.reason == Prefill {
			return Overtaking
		}
		withHead := a.forecast
		a.addToForecast(&withHead, a.head.work)
		if !fits(&withHead) {
			return Overtaking
		}
	}
	return Admitted
}

// headBlocks reports whether the head of the line has been overtaken so often
// that w may overtake it only without delaying it.
func (a *Admitter) headBlocks(now time.Time, w Work) bool {
	h := &a.head
	return h.work.ID != "" && h.work.ID != w.ID &&
		h.overtaken >= a.settings.MaxOvertaken &&
		w.Priority <= h.work.Priority &&
		now.Sub(h.declinedAt) < a.settings.HeadTimeout
}

// peak returns the forecast peak of the memory in use, in tokens; the chance to
// exceed it is Settings.Risk.
func (a *Admitter) peak() int {
	return int(math.Ceil(a.forecast.Peak(a.settings.Risk))) + a.prefixes.tokens()
}

// refresh recomputes the forecast if it is too old or was invalidated.
func (a *Admitter) refresh(now time.Time) {
	if !a.forecastAt.IsZero() && now.Sub(a.forecastAt) < maxForecastAge {
		return
	}
	a.forecast = forecaster.Forecast{}
	var survival forecaster.Chances
	for _, g := range a.byAdmission {
		g.tracker.Curve().Chances(g.tokens, forecaster.Horizons[:], survival[:])
		a.forecast.Add(g.memory(), maxGrowth(g.Work, g.tokens), &survival)
	}
	a.forecastAt = now
}

// updateHead puts a generation that was declined for memory or prefill at the
// head of the line if there is none, and counts the admitted ones that overtake it.
// A resumed generation displaces a new one there and counts as overtaken
// MaxOvertaken times at once.
func (a *Admitter) updateHead(now time.Time, w Work, reason Reason) {
	h := &a.head
	if now.Sub(h.declinedAt) >= a.settings.HeadTimeout {
		*h = head{}
	}
	declined := reason == Memory || reason == Prefill
	resumes := w.Resumed > 0 && h.work.Resumed == 0
	switch {
	case declined && (h.work.ID == "" || h.work.ID == w.ID || resumes):
		h.work = w
		h.reason = reason
		h.declinedAt = now
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

// memoryShort reports whether the memory in use, the slack and a number of
// additional tokens together exceed the engine's memory.
func (a *Admitter) memoryShort(additional int) bool {
	slack := len(a.byAdmission) * a.settings.Slack
	return a.used+a.prefixes.tokens()+slack+additional > a.settings.MemoryTokens
}

// start adds an admitted generation to all counts and to the forecast.
func (a *Admitter) start(w Work) {
	g := &generation{
		Work:       w,
		tracker:    a.lengths.Track(estimator.Key{Workspace: w.Workspace, Kind: w.Kind}, w.Resumed),
		tokens:     w.Resumed,
		prefilling: a.memoryFor(w),
	}
	a.addToForecast(&a.forecast, w)
	g.sharedBlocks = a.prefixes.add(w.Blocks)
	a.used += g.memory()
	a.prefill += g.prefilling
	a.byID[w.ID] = g
	a.byAdmission = append(a.byAdmission, g)
}

// withWeights fills in default weights where w has none, and the risk that
// follows from its weights.
func (a *Admitter) withWeights(w Work) Work {
	if w.Weights == (Weights{}) {
		w.Weights, w.risk = a.settings.Weights, a.settings.Risk
		return w
	}
	w.risk = w.Weights.risk()
	return w
}

// memory returns the memory of the generation without the blocks that were in
// use at its admission, in tokens.
func (g *generation) memory() int {
	return roundUpToBlocks(g.PromptTokens+g.tokens) - g.sharedBlocks*hasher.BlockTokens
}

// maxGrowth returns how many more tokens a generation that has n output tokens may
// make.
func maxGrowth(w Work, n int) int {
	if w.MaxTokens <= 0 {
		return math.MaxInt
	}
	return w.MaxTokens - n
}

// roundUpToBlocks returns tokens+1, for the next token, rounded up to whole blocks.
func roundUpToBlocks(tokens int) int {
	return (tokens/hasher.BlockTokens + 1) * hasher.BlockTokens
}

// retryAfter returns how long to wait before the next try after a decline.
func (r Reason) retryAfter() time.Duration {
	if r == Prefill {
		return prefillRetry
	}
	return memoryRetry
}
