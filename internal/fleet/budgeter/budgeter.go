// Package budgeter limits retries on further backend servers: over all hosts, the retries for
// a service stay within a share of its requests plus a fixed slack.
package budgeter

import (
	"sync"
	"time"
)

type (
	// Budgeter holds this host's part of the retry budget of each service. Its exported fields
	// are set before first use; it is safe for concurrent use.
	Budgeter struct {
		// Ratio is the number of retries allowed per request, Slack the number allowed in
		// addition over all hosts, both within any Window.
		Ratio  float64
		Slack  float64
		Window time.Duration
		// Hosts returns the number of hosts that share the slack; less than 1 counts as 1.
		Hosts func() int

		mu       sync.Mutex
		services map[string]*history
	}

	// history holds the times at which requests and retries were sent, oldest first.
	history struct {
		requests []time.Time
		retries  []time.Time
	}
)

// usedShare is the share of the budget that is used. The rest is a margin, as windows slide and
// each host counts only its own requests and retries.
const usedShare = 0.6

// RecordRequest counts a request for a service.
func (b *Budgeter) RecordRequest(now time.Time, service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	h := b.history(now, service)
	h.requests = append(h.requests, now)
}

// AllowRetry reports whether a request for a service may be retried, and counts the retry if so.
func (b *Budgeter) AllowRetry(now time.Time, service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	h := b.history(now, service)
	allowed := usedShare * (b.Ratio*float64(len(h.requests)) + b.Slack/float64(max(b.Hosts(), 1)))
	if float64(len(h.retries)+1) > allowed {
		return false
	}
	h.retries = append(h.retries, now)
	return true
}

// history returns the history of a service without what is older than the window. The lock is
// held.
func (b *Budgeter) history(now time.Time, service string) *history {
	if b.services == nil {
		b.services = make(map[string]*history)
	}
	h := b.services[service]
	if h == nil {
		h = &history{}
		b.services[service] = h
	}
	oldest := now.Add(-b.Window)
	h.requests = dropBefore(h.requests, oldest)
	h.retries = dropBefore(h.retries, oldest)
	return h
}

func dropBefore(times []time.Time, oldest time.Time) []time.Time {
	n := 0
	for n < len(times) && times[n].Before(oldest) {
		n++
	}
	return times[n:]
}
