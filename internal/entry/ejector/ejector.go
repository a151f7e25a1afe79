// Package ejector keeps new work away from backend servers that fail, for a
// bounded part of them and a bounded time, and lets them return slowly.
package ejector

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

const (
	// DefaultFailures in a row eject a backend server.
	DefaultFailures = 5
	// DefaultSlowFactor is how many times the group's median an answer takes to be slow.
	DefaultSlowFactor = 5.0
	// DefaultSlowAnswers in a row eject a backend server.
	DefaultSlowAnswers = 20
	// DefaultBase is the time of a first ejection.
	DefaultBase = 2 * time.Second
	// DefaultMax bounds the time of an ejection.
	DefaultMax = time.Minute
	// DefaultMaxShare is the part of a group that may be ejected at once.
	DefaultMaxShare = 0.34

	// slowFloor is the least time that may count as slow.
	slowFloor = 100 * time.Millisecond
	// smoothing weighs the newest answer against those before.
	smoothing = 0.2
	// jitterShare is the random part of an ejection's time.
	jitterShare = 0.25
	// minPeers is how many backend servers with answers a median needs.
	minPeers = 3
)

type (
	// Ejector knows how backend servers do. It is safe for concurrent use. Its
	// exported fields are set before first use; 0 stands for the defaults.
	Ejector struct {
		// Failures in a row, or SlowAnswers in a row that take SlowFactor times the
		// group's median, eject a backend server.
		Failures    int
		SlowAnswers int
		SlowFactor  float64
		// Base is the time of the first ejection; it doubles with each that follows
		// before the backend server has done well for as long, up to Max.
		Base time.Duration
		Max  time.Duration
		// MaxShare is the part of a group that may be ejected at once; one that is
		// alone never is.
		MaxShare float64
		// Size returns how many backend servers a group has.
		Size func(group string) int
		// Random returns a number in [0, 1); nil for the shared source.
		Random func() float64

		mu      sync.Mutex
		servers map[string]*server
	}

	// Change is what a report led to.
	Change struct {
		// Ejected tells that the backend server gets no new work for a while.
		Ejected bool
		For     time.Duration
		// Slow tells that it was for its time, not for failures.
		Slow bool
	}

	server struct {
		group string
		// failures and slow count in a row.
		failures int
		slow     int
		// time smooths the time of answers; 0 before the first.
		time time.Duration
		// until is when the ejection ends; times counts ejections in a row.
		until time.Time
		times int
	}
)

// Fail notes that a backend server of a group failed.
func (e *Ejector) Fail(now time.Time, group, name string) Change {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.server(group, name)
	s.failures++
	// On its return one failure is enough.
	probation := s.times > 0 && !now.Before(s.until) && now.Sub(s.until) < e.length(s.times)
	if s.failures < orInt(e.Failures, DefaultFailures) && !probation {
		return Change{}
	}
	return e.eject(now, group, s, false)
}

// Forget drops what is known of backend servers that are not in the list.
func (e *Ejector) Forget(keep func(name string) bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for name := range e.servers {
		if !keep(name) {
			delete(e.servers, name)
		}
	}
}

// Renew drops what is known of a backend server that restarted.
func (e *Ejector) Renew(name string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.servers, name)
}

// ReturnedAt tells since when a backend server is back from its last ejection;
// the zero time if it never was ejected.
func (e *Ejector) ReturnedAt(name string) time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.servers[name]
	if s == nil || s.times == 0 {
		return time.Time{}
	}
	return s.until
}

// Succeed notes that a backend server of a group answered after took.
func (e *Ejector) Succeed(now time.Time, group, name string, took time.Duration) Change {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.server(group, name)
	s.failures = 0
	if s.times > 0 && now.Sub(s.until) >= e.length(s.times) {
		s.times = 0
	}
	if s.time == 0 {
		s.time = took
	}
	s.time += time.Duration(smoothing * float64(took-s.time))
	median, ok := e.median(group, s)
	factor := e.SlowFactor
	if factor == 0 {
		factor = DefaultSlowFactor
	}
	if !ok || took < slowFloor || float64(took) < factor*float64(median) {
		s.slow = 0
		return Change{}
	}
	s.slow++
	if s.slow < orInt(e.SlowAnswers, DefaultSlowAnswers) {
		return Change{}
	}
	return e.eject(now, group, s, true)
}

// Usable tells whether a backend server may get new work at now.
func (e *Ejector) Usable(now time.Time, name string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.servers[name]
	return s == nil || !now.Before(s.until)
}

// eject ejects s unless too many of its group are out already.
func (e *Ejector) eject(now time.Time, group string, s *server, slow bool) Change {
	if now.Before(s.until) {
		return Change{}
	}
	out := 1
	for _, other := range e.servers {
		if other.group == group && now.Before(other.until) {
			out++
		}
	}
	share := e.MaxShare
	if share == 0 {
		share = DefaultMaxShare
	}
	size := e.Size(group)
	if size < 2 || out > max(1, int(share*float64(size))) {
		return Change{}
	}
	s.times++
	s.failures, s.slow, s.time = 0, 0, 0
	random := e.Random
	if random == nil {
		random = rand.Float64
	}
	d := e.length(s.times)
	d += time.Duration(jitterShare * random() * float64(d))
	s.until = now.Add(d)
	return Change{Ejected: true, For: d, Slow: slow}
}

// length is the time of the n-th ejection in a row.
func (e *Ejector) length(n int) time.Duration {
	d, most := e.Base, e.Max
	if d == 0 {
		d = DefaultBase
	}
	if most == 0 {
		most = DefaultMax
	}
	for ; n > 1 && d < most; n-- {
		d *= 2
	}
	return min(d, most)
}

// median returns that of the times of the group's other backend servers.
func (e *Ejector) median(group string, not *server) (time.Duration, bool) {
	var times []time.Duration
	for _, s := range e.servers {
		if s != not && s.group == group && s.time > 0 {
			times = append(times, s.time)
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
