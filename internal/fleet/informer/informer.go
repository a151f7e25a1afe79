// Package informer passes the reports of backend servers on between the hosts of a fleet. Changes
// go over the links between hosts. A change that a hub received itself, and each departure, are
// also passed on by call through other hosts: so they reach hubs that the host can't reach, and a
// departure is acknowledged to its backend server only once another host has it.
package informer

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"verbenareach/internal/event/logger"
	"verbenareach/internal/fleet/tracker"
	"verbenareach/internal/wire/messenger"
)

// Informer passes on the reports that one host receives. Its exported fields are set before first
// use; it is safe for concurrent use.
type Informer struct {
	Self    *messenger.FleetHost
	Tracker *tracker.Tracker
	// Linked returns the hosts to which a link is up, Alone reports whether the fleet has no other.
	Linked func() []*messenger.FleetHost
	Alone  func() bool
	// EnqueueReports calls add with the next message to each linked hub, and to each linked host that takes
	// reports from this one, except the named one. PassOn does so for what origin, a linked host, has
	// sent over its links: hubs that are linked to origin have it.
	EnqueueReports func(except string, add func(m *messenger.LinkMessage))
	PassOn         func(origin string, add func(m *messenger.LinkMessage))
	// Enqueue calls add with the next message to a linked host.
	Enqueue func(host string, add func(m *messenger.LinkMessage)) bool
	// Call has another host handle a request, as Handle does.
	Call func(ctx context.Context, host *messenger.FleetHost, req *messenger.InformRequest) error
	// WarmUps returns the warm-ups of those backend servers that are cold, MergeWarmUps records those
	// that another host passes on.
	WarmUps      func(now time.Time, backends []*messenger.Backend) []*messenger.WarmUp
	MergeWarmUps func(now time.Time, from string, warmUps []*messenger.WarmUp)
	// OnChange is called with changed reports; from is the host that sent them, "" if none did.
	OnChange func(now time.Time, from string, changed []*messenger.Backend)
	Log      *logger.Logger

	mu sync.Mutex
	// unconfirmed holds the ids of departures that no other host is known to have.
	unconfirmed map[string]bool
}

// ErrNotLinked is returned for reports that could not be passed on to other hosts.
var ErrNotLinked = errors.New("no other host acknowledged the report")

const (
	// confirmTimeout bounds the wait for another host to have a departure. A backend server waits
	// a second for its acknowledgement before it calls another host.
	confirmTimeout = 300 * time.Millisecond
	// hubRelays and hostRelays are the numbers of hubs and of other hosts through which a report
	// is passed on.
	hubRelays  = 2
	hostRelays = 2
)

// Report records a backend server's report of its own state. A report that it leaves is passed on
// before Report returns; if no other host acknowledges it, the error is ErrNotLinked.
func (i *Informer) Report(ctx context.Context, now time.Time, report *messenger.Backend) error {
	changed := i.Tracker.Heartbeat(now, report)
	known := i.Tracker.Find(report.Id)
	if known == nil {
		// The report is not recorded: a newer process has the address.
		return nil
	}
	current := []*messenger.Backend{known}
	if report.State != messenger.Backend_STATE_READY {
		return i.passOn(ctx, now, report.Id, changed, current)
	}
	if changed {
		i.publish(now, "", current)
	}
	if changed && i.Self.Hub {
		// The backend server serves without this; nothing waits for it.
		go i.inform(ctx, &messenger.InformRequest{Backends: current})
	}
	return nil
}

// Depart records and passes on that a ready backend server is about to leave, which this host found
// out by itself.
func (i *Informer) Depart(now time.Time, id string) {
	if r := i.Tracker.MarkDraining(now, id); r != nil {
		i.publish(now, "", []*messenger.Backend{r})
	}
}

// DepartByAnswer records and passes on that a process has said in its answer to a request that it
// leaves. id is the request's id.
func (i *Informer) DepartByAnswer(now time.Time, b *messenger.Backend, id string) {
	report, news := i.Tracker.MarkLeaving(now, b)
	if !news {
		return
	}
	i.Log.Emit(now, logger.FleetBackendLeaving, id, logger.F("backend", b.Id), logger.F("started", b.Started),
		logger.F("known", report == nil))
	if report != nil {
		i.publish(now, "", []*messenger.Backend{report})
	}
}

// Remove records a backend server's report that it has left, and passes it on as Report does. A
// backend server that is unknown here may be known to other hosts.
func (i *Informer) Remove(ctx context.Context, now time.Time, id string) error {
	changed := i.Tracker.MarkGone(now, id) != nil
	known := i.Tracker.Find(id)
	if known == nil {
		i.Log.Emit(now, logger.FleetUnknownGone, "", logger.F("backend", id))
		return i.confirm(ctx, id, &messenger.InformRequest{Gone: []string{id}})
	}
	return i.passOn(ctx, now, id, changed, []*messenger.Backend{known})
}

// Receive records the reports in a message of another host. Only a hub passes them on.
func (i *Informer) Receive(now time.Time, from string, reports []*messenger.Backend) {
	changed := i.Tracker.Merge(now, reports)
	if len(changed) > 0 {
		if i.Self.Hub {
			i.PassOn(from, func(m *messenger.LinkMessage) { m.Backends = append(m.Backends, changed...) })
		}
		i.OnChange(now, from, changed)
	}
	i.correct(now, from, reports)
	if !i.Self.Hub {
		return
	}
	if newest := i.Tracker.Outdated(reports, from); len(newest) > 0 {
		// The host that passes the newer ones on to that host may have done so before.
		i.Enqueue(from, func(m *messenger.LinkMessage) { m.Backends = append(m.Backends, newest...) })
	}
}

// Expire marks backend servers without heartbeats as silent.
func (i *Informer) Expire(now time.Time) { i.publish(now, "", i.Tracker.Expire(now)) }

// Handle records reports that another host passes on, and passes them on to the linked hosts.
func (i *Informer) Handle(now time.Time, req *messenger.InformRequest) {
	i.MergeWarmUps(now, req.From, req.WarmUps)
	reports := req.Backends
	changed := i.Tracker.Merge(now, reports)
	gone := i.markGone(now, req)
	reports, changed = append(reports, gone...), append(changed, gone...)
	i.publish(now, req.From, changed)
	i.correct(now, req.From, reports)
	if !i.Self.Hub {
		// A hub has passed on what did not change here when it did.
		i.enqueue(req.From, reports)
	}
}

// markGone marks the backend servers as gone that have left and are unknown to the host that calls. It
// returns their reports, which that host gets too.
func (i *Informer) markGone(now time.Time, req *messenger.InformRequest) (gone []*messenger.Backend) {
	for _, id := range req.Gone {
		if r := i.Tracker.MarkGone(now, id); r != nil {
			gone = append(gone, r)
		}
	}
	if len(gone) > 0 {
		i.Enqueue(req.From, func(m *messenger.LinkMessage) { m.Backends = append(m.Backends, gone...) })
	}
	return gone
}

// passOn passes a departure on, unless another host is known to have it.
func (i *Informer) passOn(ctx context.Context, now time.Time, id string, changed bool, current []*messenger.Backend) error {
	if changed {
		i.publish(now, "", current)
	}
	if !changed && !i.isUnconfirmed(id) {
		return nil
	}
	return i.confirm(ctx, id, &messenger.InformRequest{Backends: current})
}

// publish passes changed reports on over the links. Only a hub does so with those that another host
// passed on by call.
func (i *Informer) publish(now time.Time, from string, changed []*messenger.Backend) {
	if len(changed) == 0 {
		return
	}
	if from == "" || i.Self.Hub {
		i.enqueue(from, changed)
	}
	i.OnChange(now, from, changed)
}

// correct passes on what this host knows better than the host that sent the reports, such as that a
// backend server still reports here after a report that was delayed came to another host.
func (i *Informer) correct(now time.Time, from string, reports []*messenger.Backend) {
	corrections := i.Tracker.Corrections(reports)
	for _, r := range corrections {
		i.Log.Emit(now, logger.FleetReportOutdated, "", logger.F("backend", r.Id), logger.F("from", from),
			logger.F("state", r.State), logger.F("sequence", r.Sequence))
	}
	i.enqueue("", corrections)
}

// enqueue adds reports to the next message to each linked host except one.
func (i *Informer) enqueue(except string, reports []*messenger.Backend) {
	if len(reports) == 0 {
		return
	}
	i.EnqueueReports(except, func(m *messenger.LinkMessage) { m.Backends = append(m.Backends, reports...) })
}

// confirm informs other hosts of a departure. It returns ErrNotLinked if none acknowledges it.
func (i *Informer) confirm(ctx context.Context, id string, req *messenger.InformRequest) error {
	hosts, err := i.informOthers(ctx, req)
	i.Log.Emit(time.Now(), logger.FleetDeparture, "", logger.F("backend", id), logger.F("hosts", hosts), logger.F("error", err))
	i.mu.Lock()
	defer i.mu.Unlock()
	if err == nil {
		delete(i.unconfirmed, id)
		return nil
	}
	if i.unconfirmed == nil {
		i.unconfirmed = make(map[string]bool)
	}
	i.unconfirmed[id] = true
	return err
}

// informOthers informs other hosts and returns the names of those that acknowledged the request. The error
// is ErrNotLinked if there are others and none did.
func (i *Informer) informOthers(ctx context.Context, req *messenger.InformRequest) ([]string, error) {
	if i.Alone() {
		return nil, nil
	}
	hosts := i.inform(ctx, req)
	if len(hosts) == 0 {
		return nil, ErrNotLinked
	}
	return hosts, nil
}

// inform calls the relays at the same time, within confirmTimeout, and returns the names of those that
// acknowledged the request. It waits for all: the first to answer may be cut off itself.
func (i *Informer) inform(ctx context.Context, req *messenger.InformRequest) (acknowledged []string) {
	req.From = i.Self.Name
	req.WarmUps = i.WarmUps(time.Now(), req.Backends)
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), confirmTimeout)
	defer cancel()
	var mu sync.Mutex
	var calls sync.WaitGroup
	for _, host := range i.relays() {
		calls.Go(func() {
			err := i.Call(ctx, host, req)
			if err != nil {
				i.Log.Emit(time.Now(), logger.FleetInformFailed, "", logger.F("host", host.Name), logger.F("error", err))
				return
			}
			mu.Lock()
			defer mu.Unlock()
			acknowledged = append(acknowledged, host.Name)
		})
	}
	calls.Wait()
	return acknowledged
}

// relays chooses the hosts that pass a report on: linked hubs and, for a hub, hosts that are none,
// as a cut between hubs leaves these linked to both sides.
func (i *Informer) relays() []*messenger.FleetHost {
	var relays []*messenger.FleetHost
	linked := i.Linked()
	left := map[bool]int{true: hubRelays, false: hostRelays}
	for _, at := range rand.Perm(len(linked)) {
		if h := linked[at]; left[h.Hub] > 0 {
			left[h.Hub]--
			relays = append(relays, h)
		}
	}
	return relays
}

func (i *Informer) isUnconfirmed(id string) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.unconfirmed[id]
}
