// Package tracker keeps the newest report of each backend server. Reports are ordered by
// process start and sequence, whichever host received them and however late they arrive.
package tracker

import (
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"verbenareach/internal/fleet/evacuator"
	"verbenareach/internal/wire/messenger"
)

type (
	// Tracker holds the newest report of each backend server. Its exported fields are set
	// before first use; it is safe for concurrent use.
	Tracker struct {
		// Name is the name of this host.
		Name string
		// SilenceTimeout is the time without a heartbeat after which a backend server counts as
		// silent.
		SilenceTimeout time.Duration
		// Evacuations returns the evacuated failure domains, whose backend servers Ready leaves out. It
		// may be nil.
		Evacuations func() *evacuator.Set

		mu sync.Mutex
		// entries holds the backend servers by id.
		entries map[string]*entry
		// owners holds the id of the newest process at each address.
		owners map[string]string
	}

	entry struct {
		report *messenger.Backend
		// lastReport is when this host last accepted a report. Expire compares it with
		// SilenceTimeout if this host is the report's keeper, the host that got the heartbeat.
		lastReport time.Time
		// avoidUntil is the end of the time for which Ready leaves the backend server out.
		avoidUntil time.Time
		// leaving is set once the process has said in an answer to this host that it leaves. Only
		// another process ends that.
		leaving bool
		// leavesSince is when this host learned that the process leaves or has left, by a report or an
		// answer; zero if it does not.
		leavesSince time.Time
		// pausedUntil is the end of the pause for which the process has asked this host.
		pausedUntil time.Time
		// stateChanged is when the state last changed; entries that are gone or silent are
		// dropped forgetAfter later.
		stateChanged time.Time
	}
)

// forgetAfter is how long a backend server that is gone or silent is remembered, so that late
// reports of it are recognized as old.
const forgetAfter = 2 * time.Minute

// Heartbeat records a report that a backend server sent to this host. changed is set if the
// report must be passed on to other hosts.
func (t *Tracker) Heartbeat(now time.Time, report *messenger.Backend) (changed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	report = proto.CloneOf(report)
	report.Keeper = t.Name
	before := t.report(report.Id)
	if !t.apply(now, report) {
		return false
	}
	t.entries[report.Id].lastReport = now
	return before == nil || differs(before, report)
}

// Merge records reports from other hosts and returns those that must be passed on.
func (t *Tracker) Merge(now time.Time, reports []*messenger.Backend) (changed []*messenger.Backend) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range reports {
		before := t.report(r.Id)
		if !t.apply(now, r) {
			if marked := t.adoptMark(now, r); marked != nil {
				changed = append(changed, marked)
			}
			continue
		}
		t.entries[r.Id].lastReport = now
		if before == nil || differs(before, r) {
			changed = append(changed, r)
		}
	}
	return changed
}

// Corrections returns the reports of this host that replace older ones among those of another host. Only the
// keeper of a backend server corrects, as it alone has each report.
func (t *Tracker) Corrections(reports []*messenger.Backend) []*messenger.Backend {
	return t.replacing(reports, func(_, own *messenger.Backend) bool { return own.Keeper == t.Name })
}

// Outdated returns the reports of this host that replace older ones which a backend server has sent to
// the named host itself. A mark of another host is not replaced: it is no report of the process.
func (t *Tracker) Outdated(reports []*messenger.Backend, host string) []*messenger.Backend {
	return t.replacing(reports, func(r, own *messenger.Backend) bool { return r.Keeper == host && own.Keeper != host })
}

// replacing returns the reports of this host that are newer than those of another one, differ from them
// and are included.
func (t *Tracker) replacing(reports []*messenger.Backend, includes func(r, own *messenger.Backend) bool) (newest []*messenger.Backend) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range reports {
		own := t.report(r.Id)
		if own != nil && includes(r, own) && newer(r, own) && differs(r, own) {
			newest = append(newest, own)
		}
	}
	return newest
}

// MarkDraining marks a ready backend server that is about to leave, though no report says so yet.
// It returns the report to pass on; nil if the backend server is not ready. A later report counts.
func (t *Tracker) MarkDraining(now time.Time, id string) *messenger.Backend {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entries[id]
	if e == nil || e.report.State != messenger.Backend_STATE_READY {
		return nil
	}
	return t.setState(now, e, messenger.Backend_STATE_DRAINING)
}

// MarkLeaving records that a process has said in an answer to this host that it leaves: Ready leaves
// it out from then on, whatever it reports. news is set if that was not known; report is then the one
// to pass on, nil if the other hosts know already that it leaves. A later report counts for them.
func (t *Tracker) MarkLeaving(now time.Time, b *messenger.Backend) (report *messenger.Backend, news bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entries[b.Id]
	if e == nil || e.report.Started != b.Started || e.leaving {
		return nil, false
	}
	e.leaving = true
	e.noteLeaving(now)
	if e.report.State != messenger.Backend_STATE_READY {
		return nil, true
	}
	return t.setState(now, e, messenger.Backend_STATE_DRAINING), true
}

// Leaving returns for how long this host has known that a process leaves or has left, by a report or an answer.
// known is false if it does not know that.
func (t *Tracker) Leaving(now time.Time, b *messenger.Backend) (since time.Duration, known bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entries[b.Id]
	if e == nil || e.report.Started != b.Started || e.leavesSince.IsZero() {
		return 0, false
	}
	return now.Sub(e.leavesSince), true
}

// IsEvacuated reports whether a backend server is in an evacuated failure domain.
func (t *Tracker) IsEvacuated(b *messenger.Backend) bool {
	return t.evacuations().Contains(b.FailureDomain)
}

// Pause records that a process has asked this host for a pause until a time. A pause is never
// shortened. It returns whether it is news.
func (t *Tracker) Pause(b *messenger.Backend, until time.Time) (news bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entries[b.Id]
	if e == nil || e.report.Started != b.Started || !until.After(e.pausedUntil) {
		return false
	}
	e.pausedUntil = until
	return true
}

// PauseLeft returns how long this host may send nothing to a process that has asked it for a pause.
func (t *Tracker) PauseLeft(now time.Time, b *messenger.Backend) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entries[b.Id]
	if e == nil || e.report.Started != b.Started {
		return 0
	}
	return max(e.pausedUntil.Sub(now), 0)
}

// MarkGone marks a backend server that announced its end to this host as gone, and makes this host its
// keeper: it tells those that lack the mark. It returns the report to pass on; nil if the backend server
// is unknown or gone already.
func (t *Tracker) MarkGone(now time.Time, id string) *messenger.Backend {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entries[id]
	if e == nil || e.report.State == messenger.Backend_STATE_GONE {
		return nil
	}
	r := t.setState(now, e, messenger.Backend_STATE_GONE)
	r.Keeper = t.Name
	return r
}

// Expire marks as silent the backend servers of which this host is the keeper and that sent no
// heartbeat within SilenceTimeout, and returns them. It also drops those that have been gone or
// silent for forgetAfter.
func (t *Tracker) Expire(now time.Time) (expired []*messenger.Backend) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, e := range t.entries {
		inactive := e.report.State == messenger.Backend_STATE_GONE || e.report.State == messenger.Backend_STATE_SILENT
		switch {
		case inactive && now.Sub(e.stateChanged) > forgetAfter:
			delete(t.entries, id)
			if t.owners[e.report.Address] == id {
				delete(t.owners, e.report.Address)
			}
		case !inactive && e.report.Keeper == t.Name && now.Sub(e.lastReport) > t.SilenceTimeout:
			expired = append(expired, t.setState(now, e, messenger.Backend_STATE_SILENT))
		}
	}
	return expired
}

// All returns the newest report of every backend server, including those gone or silent.
func (t *Tracker) All() []*messenger.Backend {
	t.mu.Lock()
	defer t.mu.Unlock()
	all := make([]*messenger.Backend, 0, len(t.entries))
	for _, e := range t.entries {
		all = append(all, e.report)
	}
	return all
}

// Find returns the newest report of a backend server; nil if there is none.
func (t *Tracker) Find(id string) *messenger.Backend {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.report(id)
}

// Ready returns the backend servers of a service that take new requests from this host now. Those to
// avoid are left out unless there are no others.
func (t *Tracker) Ready(now time.Time, service string) []*messenger.Backend {
	t.mu.Lock()
	defer t.mu.Unlock()
	var preferred, avoided []*messenger.Backend
	evacuations := t.evacuations()
	for _, e := range t.entries {
		if !e.serves(service, evacuations) || now.Before(e.pausedUntil) {
			continue
		}
		if now.Before(e.avoidUntil) {
			avoided = append(avoided, e.report)
			continue
		}
		preferred = append(preferred, e.report)
	}
	if len(preferred) == 0 {
		return avoided
	}
	return preferred
}

// ServicePause returns the shortest time that is left of the pauses of a service's backend servers, if
// each of those that take requests has asked this host for one; 0 otherwise.
func (t *Tracker) ServicePause(now time.Time, service string) (shortest time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	evacuations := t.evacuations()
	for _, e := range t.entries {
		if !e.serves(service, evacuations) {
			continue
		}
		left := e.pausedUntil.Sub(now)
		if left <= 0 {
			return 0
		}
		if shortest == 0 || left < shortest {
			shortest = left
		}
	}
	return shortest
}

// Avoid leaves a backend server out of Ready until a time.
func (t *Tracker) Avoid(id string, until time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.entries[id]; e != nil && e.avoidUntil.Before(until) {
		e.avoidUntil = until
	}
}

// apply stores a report if it is newer than the stored one and no newer process has its address,
// and reports whether it did. An older process at the address is marked as gone. The lock is held.
func (t *Tracker) apply(now time.Time, r *messenger.Backend) bool {
	if t.entries == nil {
		t.entries, t.owners = make(map[string]*entry), make(map[string]string)
	}
	e := t.entries[r.Id]
	if e != nil && !newer(e.report, r) {
		return false
	}
	if owner := t.entries[t.owners[r.Address]]; owner != nil && owner.report.Id != r.Id {
		if owner.report.Started > r.Started {
			return false
		}
		if owner.report.State != messenger.Backend_STATE_GONE {
			t.setState(now, owner, messenger.Backend_STATE_GONE)
		}
	}
	if e == nil {
		e = &entry{stateChanged: now}
		t.entries[r.Id] = e
	}
	if e.report != nil && e.report.Started != r.Started {
		e.leaving, e.leavesSince, e.pausedUntil = false, time.Time{}, time.Time{}
	}
	if e.report == nil || e.report.State != r.State || e.report.Started != r.Started {
		e.stateChanged = now
		e.avoidUntil = time.Time{}
	}
	e.report = r
	e.noteLeaving(now)
	t.owners[r.Address] = r.Id
	return true
}

// adoptMark has the keeper of a ready backend server take over another host's mark that it is draining, whose
// sequence is older than the keeper's. It returns the report to pass on; nil if r is no such mark. Other hosts
// take no older one: only the keeper passes on the later report that ends it. The lock is held.
func (t *Tracker) adoptMark(now time.Time, r *messenger.Backend) *messenger.Backend {
	e := t.entries[r.Id]
	if e == nil || e.report.Keeper != t.Name || e.report.Started != r.Started {
		return nil
	}
	if e.report.State != messenger.Backend_STATE_READY || r.State != messenger.Backend_STATE_DRAINING {
		return nil
	}
	return t.setState(now, e, messenger.Backend_STATE_DRAINING)
}

// report returns the newest report of a backend server; nil if there is none. The lock is held.
func (t *Tracker) report(id string) *messenger.Backend {
	if e := t.entries[id]; e != nil {
		return e.report
	}
	return nil
}

// setState stores and returns a copy of an entry's report with another state. The lock is held.
func (t *Tracker) setState(now time.Time, e *entry, state messenger.Backend_State) *messenger.Backend {
	r := proto.CloneOf(e.report)
	r.State = state
	e.report, e.stateChanged = r, now
	e.noteLeaving(now)
	return r
}

// evacuations returns the evacuated failure domains.
func (t *Tracker) evacuations() *evacuator.Set {
	if t.Evacuations == nil {
		return nil
	}
	return t.Evacuations()
}

// serves reports whether the backend server takes requests for a service, pauses left aside.
func (e *entry) serves(service string, evacuations *evacuator.Set) bool {
	if evacuations.Contains(e.report.FailureDomain) {
		return false
	}
	return e.report.Service == service && e.report.State == messenger.Backend_STATE_READY && !e.leaving
}

// noteLeaving keeps leavesSince in step with the report and with what the process has said.
func (e *entry) noteLeaving(now time.Time) {
	state := e.report.State
	leaves := e.leaving || state == messenger.Backend_STATE_DRAINING || state == messenger.Backend_STATE_GONE
	switch {
	case leaves && e.leavesSince.IsZero():
		e.leavesSince = now
	case !leaves && state == messenger.Backend_STATE_READY:
		e.leavesSince = time.Time{}
	}
}
