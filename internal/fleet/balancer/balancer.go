// Package balancer chooses the backend server of a plain service that a request goes to:
// by what this host has outstanding there, and by how requests of the whole fleet fared
// there of late. It knows no network.
package balancer

import (
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"verbenareach/internal/wire/messenger"
)

type (
	// Balancer is one host's. Its exported fields are set before first use; it is safe for
	// concurrent use.
	Balancer struct {
		// FailureDomain is the host's own.
		FailureDomain string
		// Hosts returns how many hosts send requests to the same backend servers.
		Hosts func() int
		// TellLoss tells the other hosts that a backend server lost an answer.
		TellLoss func(backend string)

		mu sync.Mutex
		// loads holds what is known of each backend server.
		loads map[string]*load
	}

	// Outcome is how a request to a backend server ended.
	Outcome int

	// Done ends a request that was counted.
	Done func(now time.Time, outcome Outcome)

	load struct {
		// outstanding counts this host's requests there.
		outstanding int
		// failing is the recent share of requests that failed there, as of sampled; lost is
		// that of those whose answers were lost, on all hosts.
		failing, lost float64
		sampled       time.Time
	}
)

// Outcomes of requests.
const (
	// Answered requests got an answer that is no failure; so count those that say nothing
	// of the backend server.
	Answered Outcome = iota
	// Failed ones were refused, or answered with a failure.
	Failed
	// Lost ones got no whole answer: they may have run.
	Lost
)

// MinOutstanding is how many requests one host may have at a backend server at least;
// beyond its places it would only queue them.
const MinOutstanding = 4

const (
	// sampleRate is the weight of a new sample.
	sampleRate = 0.15
	// ordinaryFailing and ordinaryLost are the shares below which failures cost nothing.
	// Some requests fail wherever they run, but few lose their answer.
	ordinaryFailing = 0.25
	ordinaryLost    = 0.2
	// failingHalfLife is how long a backend server that gets no requests keeps half of
	// its shares.
	failingHalfLife = 3 * time.Second
	// failingCost and lostCost are what a share of 1 costs beside an outstanding request.
	failingCost = 20
	lostCost    = 60
	// maxLoads bounds the backend servers that are remembered without a request there.
	maxLoads = 1024
	// farCost is what another failure domain costs beside an outstanding request.
	farCost = 0.5
	// tieSpread breaks ties at random, as hosts must not all choose the same.
	tieSpread = 0.1
)

// Choose returns the backend server, of those that are ready and not tried, that is
// expected to answer first, and counts a request there until done is called; nil if there
// is none. full tells that all that are left have as much of this host as they take.
func (b *Balancer) Choose(now time.Time, ready []*messenger.Backend, tried []string) (best *messenger.Backend, done Done, full bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	bestCost := math.Inf(1)
	for _, s := range ready {
		if slices.Contains(tried, s.Id) {
			continue
		}
		l := b.loads[s.Id]
		if l != nil && l.outstanding >= max(int(s.Slots), MinOutstanding) {
			full = true
			continue
		}
		cost := rand.Float64() * tieSpread //nolint:gosec // Breaks ties.
		if l != nil {
			cost += l.cost(now)
		}
		if s.FailureDomain != b.FailureDomain {
			cost += farCost
		}
		if cost < bestCost {
			best, bestCost = s, cost
		}
	}
	if best == nil {
		return nil, nil, full
	}
	return best, b.count(best.Id), false
}

// LostElsewhere takes another host's word that a backend server lost an answer.
func (b *Balancer) LostElsewhere(now time.Time, backend string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	l := b.load(backend)
	l.decay(now)
	l.lost += sampleRate * (1 - l.lost)
}

// count counts a request at a backend server; what it returns ends it. The lock is held.
func (b *Balancer) count(backend string) Done {
	l := b.load(backend)
	l.outstanding++
	return func(now time.Time, outcome Outcome) {
		b.end(now, l, outcome)
		if outcome == Lost {
			b.TellLoss(backend)
		}
	}
}

func (b *Balancer) end(now time.Time, l *load, outcome Outcome) {
	b.mu.Lock()
	defer b.mu.Unlock()
	l.outstanding--
	l.decay(now)
	failed, lost := 0.0, 0.0
	if outcome != Answered {
		failed = 1
	}
	l.failing += sampleRate * (failed - l.failing)
	if outcome == Lost {
		lost = 1
	}
	// Losses are heard of from all hosts, answers from this one only: each of these stands
	// for one on every host.
	samples := 1
	if outcome != Lost {
		samples = max(b.Hosts(), 1)
	}
	l.lost = lost + (l.lost-lost)*math.Pow(1-sampleRate, float64(samples))
}

// load returns what is known of a backend server. The lock is held.
func (b *Balancer) load(backend string) *load {
	if b.loads == nil {
		b.loads = make(map[string]*load)
	}
	if len(b.loads) > maxLoads {
		maps.DeleteFunc(b.loads, func(_ string, l *load) bool { return l.outstanding == 0 })
	}
	l := b.loads[backend]
	if l == nil {
		l = &load{}
		b.loads[backend] = l
	}
	return l
}

// cost returns what it costs to send another request there, in outstanding requests.
func (l *load) cost(now time.Time) float64 {
	kept := l.kept(now)
	cost := float64(l.outstanding)
	cost += failingCost * max(0, l.failing*kept-ordinaryFailing)
	cost += lostCost * max(0, l.lost*kept-ordinaryLost)
	return cost
}

// decay lessens the shares for each moment since the last sample.
func (l *load) decay(now time.Time) {
	kept := l.kept(now)
	l.failing *= kept
	l.lost *= kept
	l.sampled = now
}

// kept returns the part of the shares that time has left.
func (l *load) kept(now time.Time) float64 {
	return math.Exp2(-float64(now.Sub(l.sampled)) / float64(failingHalfLife))
}
