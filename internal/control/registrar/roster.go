package registrar

import (
	"cmp"
	"reflect"
	"slices"
	"time"
)

type (
	// Announce tells of a member that follows a control host.
	Announce struct {
		Member Member `json:"member"`
		// Host is the control host that hears the member's heartbeats.
		Host string `json:"host"`
		// At is the host's time in Unix nanoseconds.
		At int64 `json:"at"`
	}

	// Expire removes a member that is gone.
	Expire struct {
		Name        string `json:"name"`
		Incarnation uint64 `json:"incarnation"`
		// Hold is the number of the announcement that the host knows of: a
		// member that moved to another host since isn't removed.
		Hold uint64 `json:"hold"`
	}

	// MemberResult answers Announce and Expire.
	MemberResult struct {
		// Accepted tells whether the member was announced or removed.
		Accepted bool `json:"accepted"`
		// Incarnation is the newest one known of that name.
		Incarnation uint64 `json:"incarnation"`
		// Hold numbers the announcement.
		Hold uint64 `json:"hold"`
	}

	// holding is one member with what control keeps of it.
	holding struct {
		Member Member `json:"member"`
		// Host hears its heartbeats.
		Host string `json:"host"`
		// Hold numbers announcements of all members and never falls.
		Hold uint64 `json:"hold"`
		// Gone is set once the member was removed. Its incarnation is kept, so
		// that a late announcement of an older one stays refused.
		Gone bool `json:"gone,omitempty"`
	}

	// roster holds the members.
	roster struct {
		holdings map[string]holding
		// renewed has the elapsed time at which each control host was last heard of.
		renewed map[string]time.Duration
		// holds counts the announcements.
		holds uint64
		// ordinals counts the names ever seen; each keeps its ordinal.
		ordinals uint32
	}
)

const (
	// maxGone bounds the removed members whose incarnation is kept.
	maxGone = 16384
	// hostLease is how long a control host holds its members without a renewal.
	// Those that live move to another host well within it.
	hostLease = 25 * time.Second
)

func (r *roster) init() {
	r.holdings = make(map[string]holding)
	r.renewed = make(map[string]time.Duration)
}

func (r *roster) announce(elapsed time.Duration, a Announce) (MemberResult, []Change) {
	old, known := r.holdings[a.Member.Name]
	m := a.Member
	if m.Name == "" || known && m.Incarnation < old.Member.Incarnation {
		return MemberResult{Incarnation: old.Member.Incarnation, Hold: old.Hold}, nil
	}
	same := known && !old.Gone && m.Incarnation == old.Member.Incarnation
	m.JoinedAt, m.Ordinal = a.At, old.Member.Ordinal
	if same {
		m.JoinedAt = old.Member.JoinedAt
	}
	if !known {
		r.ordinals++
		m.Ordinal = r.ordinals
	}
	r.renew(elapsed, a.Host)
	r.holds++
	r.holdings[m.Name] = holding{Member: m, Host: a.Host, Hold: r.holds}
	r.forget()
	result := MemberResult{Accepted: true, Incarnation: m.Incarnation, Hold: r.holds}
	if same && reflect.DeepEqual(m, old.Member) {
		return result, nil
	}
	return result, []Change{{Member: &m}}
}

func (r *roster) expire(e Expire) (MemberResult, []Change) {
	old, known := r.holdings[e.Name]
	result := MemberResult{Incarnation: old.Member.Incarnation, Hold: old.Hold}
	if !known || old.Gone || old.Member.Incarnation != e.Incarnation || old.Hold != e.Hold {
		return result, nil
	}
	old.Gone = true
	r.holdings[e.Name] = old
	result.Accepted = true
	return result, []Change{{Removed: e.Name}}
}

// expireHosts removes the members held by control hosts that are no longer heard of.
func (r *roster) expireHosts(elapsed time.Duration) []Change {
	var changes []Change
	for name, h := range r.holdings {
		at, ok := r.renewed[h.Host]
		if h.Gone || ok && elapsed-at < hostLease {
			continue
		}
		h.Gone = true
		r.holdings[name] = h
		changes = append(changes, Change{Removed: name})
	}
	for host, at := range r.renewed {
		if elapsed-at >= hostLease {
			delete(r.renewed, host)
		}
	}
	slices.SortFunc(changes, func(a, b Change) int { return cmp.Compare(a.Removed, b.Removed) })
	return changes
}

// held returns what would remove each member that a control host holds, by name.
func (r *roster) held(host string) []Expire {
	var held []Expire
	for name, h := range r.holdings {
		if h.Host == host && !h.Gone {
			held = append(held, Expire{Name: name, Incarnation: h.Member.Incarnation, Hold: h.Hold})
		}
	}
	slices.SortFunc(held, func(a, b Expire) int { return cmp.Compare(a.Name, b.Name) })
	return held
}

// renew notes that a control host lives.
func (r *roster) renew(elapsed time.Duration, host string) {
	r.renewed[host] = elapsed
}

// forget drops the removed member that was announced longest ago, when too many are kept.
func (r *roster) forget() {
	if len(r.holdings) <= maxGone {
		return
	}
	oldest, name := uint64(0), ""
	for n, h := range r.holdings {
		if h.Gone && (name == "" || h.Hold < oldest) {
			oldest, name = h.Hold, n
		}
	}
	if name != "" {
		delete(r.holdings, name)
	}
}
