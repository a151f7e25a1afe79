// Package balancer chooses the backend server for each request to a service without engines, by
// this host's outstanding requests there, the recent failures of this host's requests there and
// the recent losses of all hosts' requests there. It does no I/O.
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
	// Balancer chooses backend servers for the requests of one host. Its exported fields are
	// set before first use; it is safe for concurrent use.
	Balancer struct {
		// FailureDomain is the failure domain of this host.
		FailureDomain string
		// Hosts returns the number of hosts that send requests to the same backend servers.
		Hosts func() int
		// ReportLoss reports to the other hosts that a backend server lost an answer. It is called
		// without the lock.
		ReportLoss func(backend string)

		mu sync.Mutex
		// stats holds the statistics of each backend server by its id.
		stats map[string]*stats
	}

	// Outcome is how a request to a backend server ended.
	Outcome int

	// Done records the end of a request for which Choose counted an outstanding one. It must be
	// called exactly once.
	Done func(now time.Time, outcome Outcome)

	stats struct {
		// outstanding is the number of this host's requests without an outcome.
		outstanding int
		// failureRate is the recent share of this host's requests that failed, lossRate that of
		// all hosts' requests whose answers were lost; both as of sampled.
		failureRate, lossRate float64
		sampled               time.Time
	}
)

// Outcomes of requests.
const (
	// Answered requests got an answer that is no failure. Requests whose outcome does not
	// depend on the backend server count as answered too.
	Answered Outcome = iota
	// Failed requests were refused, or answered with a failure.
	Failed
	// Lost requests got no complete answer and may have run.
	Lost
	// Unused requests were not sent.
	Unused
)

// MinOutstanding is the least limit on one host's outstanding requests at a backend server;
// otherwise the limit is its number of slots, beyond which it would only queue them.
const MinOutstanding = 4

const (
	// sampleWeight is the weight of a new sample in the moving averages.
	sampleWeight = 0.15
	// toleratedFailureRate and toleratedLossRate are the rates below which failures cost
	// nothing. Some requests fail wherever they run, but few lose their answer.
	toleratedFailureRate = 0.25
	toleratedLossRate    = 0.2
	// rateHalfLife is the time in which the rates of a backend server without requests halve.
	rateHalfLife = 3 * time.Second
	// failureCost and lossCost are the costs of a rate of 1, in outstanding requests.
	failureCost = 20
	lossCost    = 60
	// maxStats is the number of backend servers beyond which those without outstanding
	// requests are dropped.
	maxStats = 1024
	// farCost is the cost of another failure domain, in outstanding requests.
	farCost = 0.5
	// tieJitter breaks ties at random, so that hosts don't all choose the same backend server.
	tieJitter = 0.1
)

// Choose returns the backend server among ready, those in tried left out, that has the lowest
// cost, and counts an outstanding request there until done is called. best and done are nil
// if there is none; full is set if some were left and this host has as many outstanding
// requests on each of them as it may have.
func (b *Balancer) Choose(now time.Time, ready []*messenger.Backend, tried []string) (best *messenger.Backend, done Done, full bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	bestCost := math.Inf(1)
	for _, s := range ready {
		if slices.Contains(tried, s.Id) {
			continue
		}
		st := b.stats[s.Id]
		if st != nil && st.outstanding >= max(int(s.Slots), MinOutstanding) {
			full = true
			continue
		}
		cost := rand.Float64() * tieJitter //nolint:gosec // Breaks ties.
		if st != nil {
			cost += st.cost(now)
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
	return best, b.begin(best.Id), false
}

// RecordRemoteLoss records that another host reported a lost answer of a backend server.
func (b *Balancer) RecordRemoteLoss(now time.Time, backend string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	st := b.statsOf(backend)
	st.decay(now)
	st.lossRate += sampleWeight * (1 - st.lossRate)
}

// begin counts an outstanding request at a backend server and returns the function that ends
// it. The lock is held.
func (b *Balancer) begin(backend string) Done {
	st := b.statsOf(backend)
	st.outstanding++
	return func(now time.Time, outcome Outcome) {
		b.end(now, st, outcome)
		if outcome == Lost {
			b.ReportLoss(backend)
		}
	}
}

// end updates the statistics of a backend server with the outcome of a request.
func (b *Balancer) end(now time.Time, st *stats, outcome Outcome) {
	b.mu.Lock()
	defer b.mu.Unlock()
	st.outstanding--
	if outcome == Unused {
		return
	}
	st.decay(now)
	failed, lost := 0.0, 0.0
	if outcome != Answered {
		failed = 1
	}
	st.failureRate += sampleWeight * (failed - st.failureRate)
	if outcome == Lost {
		lost = 1
	}
	// Losses are reported by all hosts, answers are counted on this host only: each answer
	// counts as one on every host.
	samples := 1
	if outcome != Lost {
		samples = max(b.Hosts(), 1)
	}
	st.lossRate = lost + (st.lossRate-lost)*math.Pow(1-sampleWeight, float64(samples))
}

// statsOf returns the statistics of a backend server. The lock is held.
func (b *Balancer) statsOf(backend string) *stats {
	if b.stats == nil {
		b.stats = make(map[string]*stats)
	}
	if len(b.stats) > maxStats {
		maps.DeleteFunc(b.stats, func(_ string, st *stats) bool { return st.outstanding == 0 })
	}
	st := b.stats[backend]
	if st == nil {
		st = &stats{}
		b.stats[backend] = st
	}
	return st
}

// cost returns the cost of sending another request there, in outstanding requests.
func (s *stats) cost(now time.Time) float64 {
	factor := s.decayFactor(now)
	cost := float64(s.outstanding)
	cost += failureCost * max(0, s.failureRate*factor-toleratedFailureRate)
	cost += lossCost * max(0, s.lossRate*factor-toleratedLossRate)
	return cost
}

// decay reduces the rates by the time since the last sample.
func (s *stats) decay(now time.Time) {
	factor := s.decayFactor(now)
	s.failureRate *= factor
	s.lossRate *= factor
	s.sampled = now
}

// decayFactor returns the factor by which the rates have decayed since the last sample.
func (s *stats) decayFactor(now time.Time) float64 {
	return math.Exp2(-float64(now.Sub(s.sampled)) / float64(rateHalfLife))
}
