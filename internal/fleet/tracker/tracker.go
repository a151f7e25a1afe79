// Package tracker keeps what backend servers say of themselves, in the order in
// which they said it, whichever host heard it and however late it arrives.
package tracker

import (
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"verbenareach/internal/wire/messenger"
)

type (
	// Tracker holds the newest report of each backend server. Its exported fields are
	// set before first use.
	Tracker struct {
		// Name is the host's own.
		Name string
		// Silence is how long a backend server may send no heartbeat before it counts as silent.
		Silence time.Duration

		mu      sync.Mutex
		entries map[string]*entry
		// owners holds the id of the newest process at each address.
		owners map[string]string
	}

	entry struct {
		report *messenger.Backend
		// heard is when this host last took a heartbeat; used where it is the keeper.
		heard time.Time
		// failed is until when the entry is avoided after failures to reach it.
		failed time.Time
		// changed is when the state last changed, for forgetting those that are gone.
		changed time.Time
	}
)

// forgetAfter is how long a backend server that is gone is remembered, so that late
// reports of it are known to be late.
const forgetAfter = 2 * time.Minute

// Heartbeat takes a report that a backend server made to this host. It tells whether
// other hosts need to learn of it.
func (t *Tracker) Heartbeat(now time.Time, report *messenger.Backend) (changed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	report = proto.CloneOf(report)
	report.Keeper = t.Name
	before := t.report(report.Id)
	if !t.apply(now, report) {
		return false
	}
	t.entries[report.Id].heard = now
	return before == nil || differs(before, report)
}

// Learn takes reports that other hosts passed on and returns those that were news.
func (t *Tracker) Learn(now time.Time, reports []*messenger.Backend) (news []*messenger.Backend) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range reports {
		before := t.report(r.Id)
		if !t.apply(now, r) {
			continue
		}
		t.entries[r.Id].heard = now
		if before == nil || differs(before, r) {
			news = append(news, r)
		}
	}
	return news
}

// Gone takes a backend server's word that it has left. It returns the record to pass
// on, nil if the backend server is unknown or gone already.
func (t *Tracker) Gone(now time.Time, id string) *messenger.Backend {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entries[id]
	if e == nil || e.report.State == messenger.Backend_STATE_GONE {
		return nil
	}
	return t.mark(now, e, messenger.Backend_STATE_GONE)
}

// Expire marks the backend servers silent that this host keeps and has not heard of,
// and returns them.
func (t *Tracker) Expire(now time.Time) (news []*messenger.Backend) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, e := range t.entries {
		gone := e.report.State == messenger.Backend_STATE_GONE || e.report.State == messenger.Backend_STATE_SILENT
		switch {
		case gone && now.Sub(e.changed) > forgetAfter:
			delete(t.entries, id)
			if t.owners[e.report.Address] == id {
				delete(t.owners, e.report.Address)
			}
		case !gone && e.report.Keeper == t.Name && now.Sub(e.heard) > t.Silence:
			news = append(news, t.mark(now, e, messenger.Backend_STATE_SILENT))
		}
	}
	return news
}

// All returns all records, those that are gone included.
func (t *Tracker) All() []*messenger.Backend {
	t.mu.Lock()
	defer t.mu.Unlock()
	all := make([]*messenger.Backend, 0, len(t.entries))
	for _, e := range t.entries {
		all = append(all, e.report)
	}
	return all
}

// Find returns the record of a backend server; nil if there is none.
func (t *Tracker) Find(id string) *messenger.Backend {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.report(id)
}

// Ready returns the backend servers of a service that take new requests. Those that
// could not be reached of late are left out unless there are no others.
func (t *Tracker) Ready(now time.Time, service string) []*messenger.Backend {
	t.mu.Lock()
	defer t.mu.Unlock()
	var sound, failed []*messenger.Backend
	for _, e := range t.entries {
		if e.report.Service != service || e.report.State != messenger.Backend_STATE_READY {
			continue
		}
		if now.Before(e.failed) {
			failed = append(failed, e.report)
			continue
		}
		sound = append(sound, e.report)
	}
	if len(sound) == 0 {
		return failed
	}
	return sound
}

// Avoid leaves a backend server out of Ready until a time.
func (t *Tracker) Avoid(id string, until time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.entries[id]; e != nil && e.failed.Before(until) {
		e.failed = until
	}
}

// apply takes a report in if it is newer than what is known. The lock is held.
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
			t.mark(now, owner, messenger.Backend_STATE_GONE)
		}
	}
	if e == nil {
		e = &entry{changed: now}
		t.entries[r.Id] = e
	}
	if e.report == nil || e.report.State != r.State || e.report.Started != r.Started {
		e.changed = now
		e.failed = time.Time{}
	}
	e.report = r
	t.owners[r.Address] = r.Id
	return true
}

// report returns the record of a backend server; nil if there is none. The lock is held.
func (t *Tracker) report(id string) *messenger.Backend {
	if e := t.entries[id]; e != nil {
		return e.report
	}
	return nil
}

// mark gives an entry another state. The lock is held.
func (t *Tracker) mark(now time.Time, e *entry, state messenger.Backend_State) *messenger.Backend {
	r := proto.CloneOf(e.report)
	r.State = state
	e.report, e.changed = r, now
	return r
}

// newer tells whether b was said after a. Within one process of a backend server that
// it is gone is its last word; silence ends with any later report.
func newer(a, b *messenger.Backend) bool {
	if a.Started != b.Started {
		return b.Started > a.Started
	}
	if a.State == messenger.Backend_STATE_GONE {
		return false
	}
	if b.Sequence != a.Sequence {
		return b.Sequence > a.Sequence
	}
	return b.State == messenger.Backend_STATE_GONE ||
		b.State == messenger.Backend_STATE_SILENT && a.State != messenger.Backend_STATE_SILENT
}

// differs tells whether b changes what other hosts decide by.
func differs(a, b *messenger.Backend) bool {
	return a.State != b.State || a.Started != b.Started || a.Address != b.Address || a.Service != b.Service ||
		a.Keeper != b.Keeper || a.Slots != b.Slots || a.FailureDomain != b.FailureDomain
}
