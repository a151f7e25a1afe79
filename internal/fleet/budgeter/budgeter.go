// Package budgeter bounds how often requests are sent to further backend servers: over
// all hosts the repeats for a service stay within a share of its requests and a slack.
package budgeter

import (
	"sync"
	"time"
)

type (
	// Budgeter holds this host's part of the budget of each service. Its exported fields
	// are set before first use.
	Budgeter struct {
		// Ratio is the share of the requests that may be repeated, Slack what may be
		// repeated besides over all hosts, both within any Window.
		Ratio  float64
		Slack  float64
		Window time.Duration
		// Hosts returns how many hosts share the slack.
		Hosts func() int

		mu       sync.Mutex
		services map[string]*account
	}

	// account holds when requests and repeats were sent, oldest first.
	account struct {
		requests []time.Time
		repeats  []time.Time
	}
)

// margin is the part of the budget that is used: windows slide, and hosts count apart.
const margin = 0.6

// Request counts a request for a service.
func (b *Budgeter) Request(now time.Time, service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	a := b.account(now, service)
	a.requests = append(a.requests, now)
}

// Repeat tells whether a request for a service may be sent once more, and counts it if so.
func (b *Budgeter) Repeat(now time.Time, service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	a := b.account(now, service)
	allowed := margin * (b.Ratio*float64(len(a.requests)) + b.Slack/float64(max(b.Hosts(), 1)))
	if float64(len(a.repeats)+1) > allowed {
		return false
	}
	a.repeats = append(a.repeats, now)
	return true
}

// account returns a service's account without what is older than the window.
func (b *Budgeter) account(now time.Time, service string) *account {
	if b.services == nil {
		b.services = make(map[string]*account)
	}
	a := b.services[service]
	if a == nil {
		a = &account{}
		b.services[service] = a
	}
	oldest := now.Add(-b.Window)
	a.requests = after(a.requests, oldest)
	a.repeats = after(a.repeats, oldest)
	return a
}

func after(times []time.Time, oldest time.Time) []time.Time {
	n := 0
	for n < len(times) && times[n].Before(oldest) {
		n++
	}
	return times[n:]
}
