// Package pacer learns the pace of engines: how long an engine takes for a token, and how long the
// pauses between the events of a stream become, alone and while another request's prompt is read
// beside it. What is not yet known of an engine is taken from the engines of its service. The package
// does no I/O.
package pacer

import (
	"math"
	"time"

	"verbenareach/internal/wire/messenger"
)

type (
	// Service is what is known of the pace of all engines of one service. Make it with NewService.
	Service struct {
		// Times are in nanoseconds. token is the mean time for a token.
		token float64
		// steady and quick are quantiles of the engines' undisturbed times for a token.
		steady, quick quantile
		// alone and reading are high quantiles of the longest pauses, each as a multiple of its engine's
		// undisturbed time for a token: while no prompt was read beside the stream, and while one was.
		alone, reading quantile
	}

	// Engine is the pace of one engine process. It is forgotten with the process. Make it with
	// NewEngine.
	Engine struct {
		service *Service
		// token is the mean time for a token, steady the undisturbed one, both in nanoseconds.
		token, steady estimate
		// excess is by how much the longest pauses exceed those of the service: a ratio, at least 1.
		excess estimate
	}

	// estimate is an average of which old evidence fades.
	estimate struct {
		// value is the average as of learned, the time of the newest sample; zero before the first one.
		value   float64
		learned time.Time
	}
)

const (
	// initialToken is the time for a token before anything was measured.
	initialToken = 9 * time.Millisecond
	// serviceWeight, engineWeight and runWeight are the weights of a new sample in the averages
	// of a service and of an engine, and of a run that ended; steadyWeight is that in the undisturbed time
	// of an engine, which one measurement tells well.
	serviceWeight = 0.05
	engineWeight  = 0.4
	steadyWeight  = 0.7
	runWeight     = 0.1
	// quietWeight is the weight of a longest pause that is shorter than expected: one quiet measurement
	// doesn't show that an engine is steady.
	quietWeight = 0.1
	// halfLife is the time in which what an engine differs from its service by halves without
	// evidence; excessHalfLife is that of its pauses.
	halfLife       = 40 * time.Second
	excessHalfLife = 5 * time.Second
	// freshPart is the part of the half-life, one of so many, in which nothing fades yet.
	freshPart = 32
	// steadyShare, quickShare and pauseShare are the shares of samples below the quantiles.
	steadyShare = 0.5
	quickShare  = 0.25
	pauseShare  = 0.98
	// slowRatio is the ratio of an engine's undisturbed time for a token to that of the service's
	// quick ones from which on it is slow; unsteadyRatio is the excess of its pauses from which
	// on it is unsteady.
	slowRatio     = 1.15
	unsteadyRatio = 1.3
	// recovery is the share of these ratios below which an engine has recovered.
	recovery = 0.94
	// doubt is the share of a bound by which a forecast pause differs from it, either way, if it is sure to
	// keep it or to exceed it.
	doubt = 0.05
	// maxStep is by what factor one sample may differ from what is known, either way.
	maxStep = 4.0
	// minToken, maxToken and maxPause bound what a measurement may say.
	minToken = 10 * time.Microsecond
	maxToken = 5 * time.Second
	maxPause = time.Minute
)

// NewService returns the pace of a service of which nothing was measured.
func NewService() *Service {
	return &Service{
		token: float64(initialToken), steady: quantile{share: steadyShare}, quick: quantile{share: quickShare},
		alone: quantile{share: pauseShare}, reading: quantile{share: pauseShare},
	}
}

// NewEngine returns the pace of an engine process of which nothing was measured.
func NewEngine(s *Service) *Engine { return &Engine{service: s} }

// Learn adds a measurement to the pace of an engine and of its service. reading is set if the engine
// read a prompt beside the streams meanwhile. An absurd measurement changes nothing; Learn reports
// whether it is sound.
func (e *Engine) Learn(now time.Time, m *messenger.EnginePace, reading bool) bool {
	if !sound(m) {
		return false
	}
	at := now.Add(-time.Duration(m.AgeMs) * time.Millisecond)
	token, steady := micros(m.TokenUs), micros(m.SteadyUs)
	s := e.service
	s.token += serviceWeight * (clip(token, s.token) - s.token)
	s.steady.add(steady)
	s.quick.add(steady)
	e.token.learn(at, token, s.token, halfLife, engineWeight)
	prior := s.steady.value
	if !s.steady.known() {
		// A wrong measurement of another engine may be all that is known.
		prior = steady
	}
	e.steady.learn(at, steady, prior, halfLife, steadyWeight)
	// Nobody knows any more what was read beside a stream of which an old measurement tells.
	if m.AgeMs == 0 {
		e.learnPause(at, micros(m.LongestGapUs), steady, reading)
	}
	return true
}

// learnPause adds the longest pause of a measurement with an undisturbed time for a token.
func (e *Engine) learnPause(at time.Time, longest, steady float64, reading bool) {
	usual, known := e.service.pauses(reading), e.steadyAt(at)
	if usual.settled() {
		// A second in which the engine was slower throughout tells nothing of how steady it is.
		excess := max(1, clip(longest/max(known, steady)/usual.value, 1))
		before := e.excess.at(at, 1, excessHalfLife)
		weight := engineWeight
		if excess < before {
			weight = quietWeight
		}
		e.excess.learn(at, excess, 1, excessHalfLife, weight)
	}
	usual.add(longest / known)
}

// LearnRun adds the mean time for a token of a run that has ended.
func (e *Engine) LearnRun(now time.Time, token time.Duration) {
	if token < minToken || token > maxToken {
		return
	}
	s := e.service
	s.token += runWeight * (clip(float64(token), s.token) - s.token)
	e.token.learn(now, float64(token), s.token, halfLife, runWeight)
}

// TokenTime returns the mean time in which a run on the engine generates a token.
func (e *Engine) TokenTime(now time.Time) time.Duration {
	return time.Duration(e.token.at(now, e.service.token, halfLife))
}

// Gap returns the longest pause that a stream on the engine is expected to have within about a second,
// while a prompt is read beside it if reading is set; 0 if too little is known.
func (e *Engine) Gap(now time.Time, reading bool) time.Duration {
	usual := e.service.pauses(reading)
	if !usual.known() || !e.service.steady.known() {
		return 0
	}
	gap := e.steadyAt(now) * usual.value
	if excess := e.excess.at(now, 1, excessHalfLife); excess >= unsteadyRatio {
		gap *= excess
	}
	return time.Duration(gap)
}

// Uneven reports whether the engine is slower or less steady than those of its service are.
func (e *Engine) Uneven(now time.Time) bool { return e.exceeds(now, 1) }

// Recovered reports whether an engine that was uneven is clearly no longer so.
func (e *Engine) Recovered(now time.Time) bool { return !e.exceeds(now, recovery) }

// exceeds reports whether the engine is beyond a share of slowRatio or unsteadyRatio.
func (e *Engine) exceeds(now time.Time, share float64) bool {
	if !e.service.quick.known() {
		return false
	}
	return e.steadyAt(now) >= share*slowRatio*e.service.quick.value || e.excess.at(now, 1, excessHalfLife) >= share*unsteadyRatio
}

// Late returns how sure a stream is to have a pause beyond a bound on the engine while a prompt is read
// beside it, from 0 to 1; 0 if the bound is 0. An engine that is like the others of its service is
// never worse than they are, so for it Late is 0 too.
func (e *Engine) Late(now time.Time, bound time.Duration) float64 {
	if bound <= 0 || !e.Uneven(now) {
		return 0
	}
	excess := float64(e.Gap(now, true))/float64(bound) - 1
	return min(max((excess+doubt)/(2*doubt), 0), 1)
}

// Age returns how old the newest evidence is; it reports false if there is none.
func (e *Engine) Age(now time.Time) (time.Duration, bool) {
	if e.steady.learned.IsZero() {
		return 0, false
	}
	return now.Sub(e.steady.learned), true
}

// steadyAt returns the undisturbed time for a token.
func (e *Engine) steadyAt(now time.Time) float64 {
	return e.steady.at(now, e.service.steady.value, halfLife)
}

// pauses returns the quantile of the longest pauses with or without a prompt beside the stream.
func (s *Service) pauses(reading bool) *quantile {
	if reading {
		return &s.reading
	}
	return &s.alone
}

// at returns the average, of which the difference from prior halves in each halfLife without evidence.
func (v *estimate) at(now time.Time, prior float64, halfLife time.Duration) float64 {
	if v.learned.IsZero() {
		return prior
	}
	age := now.Sub(v.learned)
	if age < halfLife/freshPart {
		return v.value
	}
	return prior + (v.value-prior)*math.Exp2(-float64(age)/float64(halfLife))
}

// learn adds a sample. Evidence that is older than the newest is left out.
func (v *estimate) learn(at time.Time, sample, prior float64, halfLife time.Duration, weight float64) {
	if at.Before(v.learned) {
		return
	}
	known := v.at(at, prior, halfLife)
	v.value, v.learned = known+weight*(clip(sample, known)-known), at
}

// clip bounds a sample to maxStep times what is known, either way; what is known is above 0.
func clip(sample, known float64) float64 { return min(max(sample, known/maxStep), known*maxStep) }

// micros returns a number of microseconds in nanoseconds.
func micros(us int64) float64 { return float64(time.Duration(us) * time.Microsecond) }

// sound reports whether a measurement is possible.
func sound(m *messenger.EnginePace) bool {
	within := func(us int64, low, high time.Duration) bool {
		return us >= low.Microseconds() && us <= high.Microseconds()
	}
	return within(m.TokenUs, minToken, maxToken) && within(m.SteadyUs, minToken, maxToken) &&
		within(m.LongestGapUs, minToken, maxPause) &&
		m.AgeMs >= 0 && m.AgeMs <= MaxAge.Milliseconds()
}
