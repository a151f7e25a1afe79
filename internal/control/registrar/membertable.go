package registrar

import (
	"cmp"
	"reflect"
	"slices"
	"time"
)

type (
	// AnnounceMember registers a member that follows a control host.
	AnnounceMember struct {
		Member Member `json:"member"`
		// Host is the control host that receives the member's heartbeats.
		Host string `json:"host"`
		// At is the host's time in Unix nanoseconds.
		At int64 `json:"at"`
	}

	// ExpireMember removes a member that no longer follows its control host.
	ExpireMember struct {
		Name        string `json:"name"`
		Incarnation uint64 `json:"incarnation"`
		// Announcement is the newest number that the host knows: a member that has
		// moved to another host since is not removed.
		Announcement uint64 `json:"hold"`
	}

	// MemberResult answers AnnounceMember and ExpireMember.
	MemberResult struct {
		// Accepted is set if the member was registered or removed.
		Accepted bool `json:"accepted"`
		// Incarnation is the newest one known under that name.
		Incarnation uint64 `json:"incarnation"`
		// Announcement is the number of the member's newest announcement.
		Announcement uint64 `json:"hold"`
	}

	// memberRecord is one member, live or removed.
	memberRecord struct {
		Member Member `json:"member"`
		// Host is the control host that the member follows.
		Host string `json:"host"`
		// Announcement is the number of the newest announcement. Numbers are shared
		// by all members and only grow.
		Announcement uint64 `json:"hold"`
		// Removed is set once the member is removed. The record is kept so that a
		// late announcement of an older incarnation is still refused.
		Removed bool `json:"gone,omitempty"`
	}

	// memberTable holds the members, by name.
	memberTable struct {
		records map[string]memberRecord
		// lastRenewal has the elapsed time of each control host's newest renewal.
		lastRenewal map[string]time.Duration
		// announcements counts the accepted announcements.
		announcements uint64
		// ordinals is the highest ordinal given; a name keeps its ordinal while its
		// record is kept.
		ordinals uint32
	}
)

const (
	// maxMemberRecords is the number of records above which an announcement drops
	// the oldest removed member.
	maxMemberRecords = 16384
	// hostLease is how long a control host keeps its members without a renewal.
	// Live members move to another host well within it.
	hostLease = 25 * time.Second
)

func (t *memberTable) init() {
	t.records = make(map[string]memberRecord)
	t.lastRenewal = make(map[string]time.Duration)
}

// announce registers a member or renews its registration, and extends its host's
// lease. It refuses an incarnation older than the known one.
func (t *memberTable) announce(elapsed time.Duration, a AnnounceMember) (MemberResult, []Change) {
	old, known := t.records[a.Member.Name]
	m := a.Member
	if m.Name == "" || known && m.Incarnation < old.Member.Incarnation {
		return MemberResult{Incarnation: old.Member.Incarnation, Announcement: old.Announcement}, nil
	}
	same := known && !old.Removed && m.Incarnation == old.Member.Incarnation
	m.JoinedAt, m.Ordinal = a.At, old.Member.Ordinal
	if same {
		m.JoinedAt = old.Member.JoinedAt
	}
	if !known {
		t.ordinals++
		m.Ordinal = t.ordinals
	}
	t.renew(elapsed, a.Host)
	t.announcements++
	t.records[m.Name] = memberRecord{Member: m, Host: a.Host, Announcement: t.announcements}
	t.dropOldestRemoved()
	result := MemberResult{Accepted: true, Incarnation: m.Incarnation, Announcement: t.announcements}
	if same && reflect.DeepEqual(m, old.Member) {
		return result, nil
	}
	return result, []Change{{Member: &m}}
}

// expire removes a member if both incarnation and announcement are the newest.
func (t *memberTable) expire(e ExpireMember) (MemberResult, []Change) {
	old, known := t.records[e.Name]
	result := MemberResult{Incarnation: old.Member.Incarnation, Announcement: old.Announcement}
	if !known || old.Removed || old.Member.Incarnation != e.Incarnation || old.Announcement != e.Announcement {
		return result, nil
	}
	old.Removed = true
	t.records[e.Name] = old
	result.Accepted = true
	return result, []Change{{Removed: e.Name}}
}

// expireHosts removes the members of control hosts whose lease has ended.
func (t *memberTable) expireHosts(elapsed time.Duration) []Change {
	var changes []Change
	for name, record := range t.records {
		at, ok := t.lastRenewal[record.Host]
		if record.Removed || ok && elapsed-at < hostLease {
			continue
		}
		record.Removed = true
		t.records[name] = record
		changes = append(changes, Change{Removed: name})
	}
	for host, at := range t.lastRenewal {
		if elapsed-at >= hostLease {
			delete(t.lastRenewal, host)
		}
	}
	slices.SortFunc(changes, func(a, b Change) int { return cmp.Compare(a.Removed, b.Removed) })
	return changes
}

// expireCommands returns the command that would remove each member of a control
// host, sorted by name.
func (t *memberTable) expireCommands(host string) []ExpireMember {
	var commands []ExpireMember
	for name, record := range t.records {
		if record.Host == host && !record.Removed {
			commands = append(commands, ExpireMember{Name: name, Incarnation: record.Member.Incarnation, Announcement: record.Announcement})
		}
	}
	slices.SortFunc(commands, func(a, b ExpireMember) int { return cmp.Compare(a.Name, b.Name) })
	return commands
}

// renew extends a control host's lease.
func (t *memberTable) renew(elapsed time.Duration, host string) {
	t.lastRenewal[host] = elapsed
}

// dropOldestRemoved drops the removed member that was announced longest ago, if
// there are more than maxMemberRecords records.
func (t *memberTable) dropOldestRemoved() {
	if len(t.records) <= maxMemberRecords {
		return
	}
	oldest, name := uint64(0), ""
	for n, record := range t.records {
		if record.Removed && (name == "" || record.Announcement < oldest) {
			oldest, name = record.Announcement, n
		}
	}
	if name != "" {
		delete(t.records, name)
	}
}
