// Package ejector ejects outliers: backend servers that fail or are slow get no new work
// for some time. The ejected share of a group and the time are bounded. A group is the
// backend servers of one model or service; the caller names it.
package ejector

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

const (
	// DefaultFailures is the number of consecutive failures that eject a backend server.
	DefaultFailures = 5
	// DefaultSlowFactor is the factor for slow answers: an answer is slow if it takes at
	// least minSlowTime, and at least this factor times the median of the group's other
	// backend servers.
	DefaultSlowFactor = 5.0
	// DefaultSlowAnswers is the number of consecutive slow answers that eject a backend
	// server.
	DefaultSlowAnswers = 20
	// DefaultBase is the duration of a first ejection.
	DefaultBase = 2 * time.Second
	// DefaultMax bounds the duration of an ejection, without jitter.
	DefaultMax = time.Minute
	// DefaultMaxShare is the share of a group that may be ejected at once.
	DefaultMaxShare = 0.34

	// minSlowTime is the least time of a slow answer: a faster one is never slow,
	// whatever the median.
	minSlowTime = 100 * time.Millisecond
	// timeSmoothing is the weight of the newest answer in the moving average of the
	// answer time.
	timeSmoothing = 0.2
	// jitterShare is the largest jitter, as a share of an ejection's duration.
	jitterShare = 0.25
	// minMeasured is the least number of backend servers with measured answer times in a
	// group, the compared one included, for a comparison with the median.
	minMeasured = 3
)

type (
	// Ejector tracks the failures and answer times of backend servers. It is safe for
	// concurrent use. Its exported fields are set before first use; 0 means the default.
	Ejector struct {
		// Failures consecutive failures, or SlowAnswers consecutive slow answers, eject a
		// backend server. For as long after an ejection as it lasted (without jitter), one
		// failure is enough. An answer is slow if it takes at least minSlowTime and at least
		// SlowFactor times the median of the group's others; if fewer than minMeasured are
		// measured, none is slow.
		Failures    int
		SlowAnswers int
		SlowFactor  float64
		// Base is the duration of the first ejection. It doubles with each further one,
		// up to Max. The count of ejections restarts when the backend server answers after
		// it has been usable for at least the duration of its last ejection.
		Base time.Duration
		Max  time.Duration
		// MaxShare is the share of a group that may be ejected at once. One backend server
		// may always be ejected, except the only one of its group.
		MaxShare float64
		// Size returns the number of backend servers in a group. It is required, and must
		// not call the Ejector, whose lock is held.
		Size func(group string) int
		// Random returns a number in [0, 1); nil for the global source of math/rand/v2.
		Random func() float64

		mu      sync.Mutex
		servers map[string]*server
	}

	// Result is the result of a recorded failure or success.
	Result struct {
		// Ejected is true if this failure or success caused an ejection, which lasts
		// Duration.
		Ejected  bool
		Duration time.Duration
		// Slow is true if the backend server was ejected for slow answers, and false for
		// failures.
		Slow bool
	}

	server struct {
		group string
		// failures and slowAnswers count consecutive ones.
		failures    int
		slowAnswers int
		// answerTime is the moving average of the answer time; 0 before the first answer.
		answerTime time.Duration
		// ejectedUntil is the end of the last ejection. ejections counts the ejections
		// since the last reset; the duration doubles with it.
		ejectedUntil time.Time
		ejections    int
	}
)

// RecordFailure records that a backend server of a group failed.
func (e *Ejector) RecordFailure(now time.Time, group, name string) Result {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.server(group, name)
	s.failures++
	// For as long after an ejection as it lasted (without jitter), one failure ejects again.
	probation := s.ejections > 0 && !now.Before(s.ejectedUntil) && now.Sub(s.ejectedUntil) < e.duration(s.ejections)
	if s.failures < intOrDefault(e.Failures, DefaultFailures) && !probation {
		return Result{}
	}
	return e.eject(now, group, s, false)
}

// Prune drops the state of backend servers for which keep returns false.
func (e *Ejector) Prune(keep func(name string) bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for name := range e.servers {
		if !keep(name) {
			delete(e.servers, name)
		}
	}
}

// Reset drops the state of a backend server that restarted.
func (e *Ejector) Reset(name string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.servers, name)
}

// EjectionEnd returns the end of a backend server's last ejection, which is in the future
// while it is ejected. It returns the zero time if there was none, or if an answer has reset
// the count of ejections since.
func (e *Ejector) EjectionEnd(name string) time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.servers[name]
	if s == nil || s.ejections == 0 {
		return time.Time{}
	}
	return s.ejectedUntil
}

// RecordSuccess records that a backend server of a group answered. took is its answer time
// (for an engine, the time to the first token); 0 if it isn't measured.
func (e *Ejector) RecordSuccess(now time.Time, group, name string, took time.Duration) Result {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.server(group, name)
	s.failures = 0
	if s.ejections > 0 && now.Sub(s.ejectedUntil) >= e.duration(s.ejections) {
		s.ejections = 0
	}
	if s.answerTime == 0 {
		s.answerTime = took
	}
	s.answerTime += time.Duration(timeSmoothing * float64(took-s.answerTime))
	median, ok := e.median(group, s)
	factor := e.SlowFactor
	if factor == 0 {
		factor = DefaultSlowFactor
	}
	if !ok || took < minSlowTime || float64(took) < factor*float64(median) {
		s.slowAnswers = 0
		return Result{}
	}
	s.slowAnswers++
	if s.slowAnswers < intOrDefault(e.SlowAnswers, DefaultSlowAnswers) {
		return Result{}
	}
	return e.eject(now, group, s, true)
}

// Usable reports whether a backend server may get new work at now.
func (e *Ejector) Usable(now time.Time, name string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.servers[name]
	return s == nil || !now.Before(s.ejectedUntil)
}

// eject ejects s unless it is ejected or too many of its group are.
func (e *Ejector) eject(now time.Time, group string, s *server, slow bool) Result {
	if now.Before(s.ejectedUntil) {
		return Result{}
	}
	ejected := 1 // s itself
	for _, other := range e.servers {
		if other.group == group && now.Before(other.ejectedUntil) {
			ejected++
		}
	}
	share := e.MaxShare
	if share == 0 {
		share = DefaultMaxShare
	}
	size := e.Size(group)
	if size < 2 || ejected > max(1, int(share*float64(size))) {
		return Result{}
	}
	s.ejections++
	s.failures, s.slowAnswers, s.answerTime = 0, 0, 0
	random := e.Random
	if random == nil {
		random = rand.Float64
	}
	d := e.duration(s.ejections)
	d += time.Duration(jitterShare * random() * float64(d))
	s.ejectedUntil = now.Add(d)
	return Result{Ejected: true, Duration: d, Slow: slow}
}

// duration returns the duration of the n-th ejection since the last reset, counted from 1,
// without jitter.
func (e *Ejector) duration(n int) time.Duration {
	d, longest := e.Base, e.Max
	if d == 0 {
		d = DefaultBase
	}
	if longest == 0 {
		longest = DefaultMax
	}
	for ; n > 1 && d < longest; n-- {
		d *= 2
	}
	return min(d, longest)
}

// median returns the median answer time (the upper one of two) of the group's backend servers
// other than except. It returns false if there are too few.
func (e *Ejector) median(group string, except *server) (time.Duration, bool) {
	var times []time.Duration
	for _, s := range e.servers {
		if s != except && s.group == group && s.answerTime > 0 {
			times = append(times, s.answerTime)
		}
	}
	if len(times) < minMeasured-1 {
		return 0, false
	}
	slices.SortFunc(times, cmp.Compare[time.Duration])
	return times[len(times)/2], true
}

func (e *Ejector) server(group, name string) *server {
	if e.servers == nil {
		e.servers = make(map[string]*server)
	}
	s := e.servers[name]
	if s == nil {
		s = &server{}
		e.servers[name] = s
	}
	s.group = group
	return s
}

func intOrDefault(n, otherwise int) int {
	if n == 0 {
		return otherwise
	}
	return n
}
