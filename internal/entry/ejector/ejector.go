// Package ejector ejects outliers: backend servers that fail or are slow get no new work
// for some time. The ejected share of a group and the time are bounded.
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
	// DefaultSlowFactor times the group's median is the least time of a slow answer.
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

	// minSlowTime is the least time of a slow answer.
	minSlowTime = 100 * time.Millisecond
	// timeSmoothing is the weight of the newest answer in the moving average of the
	// answer time.
	timeSmoothing = 0.2
	// jitterShare is the largest jitter, as a share of an ejection's duration.
	jitterShare = 0.25
	// minPeers is the number of backend servers with answers that are needed to compare
	// one with the median of the others.
	minPeers = 3
)

type (
	// Ejector tracks the failures and answer times of backend servers. It is safe for
	// concurrent use. Its exported fields are set before first use; 0 means the default.
	Ejector struct {
		// Failures consecutive failures, or SlowAnswers consecutive answers that take at
		// least SlowFactor times the group's median, eject a backend server.
		Failures    int
		SlowAnswers int
		SlowFactor  float64
		// Base is the duration of the first ejection. It doubles with each further one,
		// up to Max, until the backend server answers after it was back for as long as
		// its last ejection.
		Base time.Duration
		Max  time.Duration
		// MaxShare is the share of a group that may be ejected at once. The only backend
		// server of a group is never ejected.
		MaxShare float64
		// Size returns the number of backend servers in a group.
		Size func(group string) int
		// Random returns a number in [0, 1); nil for the global source of math/rand/v2.
		Random func() float64

		mu      sync.Mutex
		servers map[string]*server
	}

	// Result is the result of a recorded failure or success.
	Result struct {
		// Ejected is true if the backend server was ejected, for Duration.
		Ejected  bool
		Duration time.Duration
		// Slow is true if it was ejected for slow answers, and false for failures.
		Slow bool
	}

	server struct {
		group string
		// failures and slowAnswers count consecutive ones.
		failures    int
		slowAnswers int
		// answerTime is the moving average of the answer time; 0 before the first answer.
		answerTime time.Duration
		// ejectedUntil is the end of the last ejection. ejections is the number of
		// ejections that determines the next duration.
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
	// After a return, one failure is enough.
	probation := s.ejections > 0 && !now.Before(s.ejectedUntil) && now.Sub(s.ejectedUntil) < e.duration(s.ejections)
	if s.failures < orInt(e.Failures, DefaultFailures) && !probation {
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

// Reset drops the state of a backend server, as it restarted.
func (e *Ejector) Reset(name string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.servers, name)
}

// ReturnedAt returns the end of a backend server's last ejection, or the zero time if there
// was none, or if an answer has reset the count of ejections since.
func (e *Ejector) ReturnedAt(name string) time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.servers[name]
	if s == nil || s.ejections == 0 {
		return time.Time{}
	}
	return s.ejectedUntil
}

// RecordSuccess records that a backend server of a group answered after took.
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
	if s.slowAnswers < orInt(e.SlowAnswers, DefaultSlowAnswers) {
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
	ejected := 1
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

// duration returns the duration of the n-th repeated ejection, without jitter.
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

// median returns the median answer time of the group's backend servers other than not. It
// returns false if there are too few.
func (e *Ejector) median(group string, not *server) (time.Duration, bool) {
	var times []time.Duration
	for _, s := range e.servers {
		if s != not && s.group == group && s.answerTime > 0 {
			times = append(times, s.answerTime)
		}
	}
	if len(times) < minPeers-1 {
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

func orInt(n, otherwise int) int {
	if n == 0 {
		return otherwise
	}
	return n
}
