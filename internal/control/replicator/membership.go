package replicator

import (
	"context"
	"fmt"
	"slices"

	"google.golang.org/protobuf/proto"

	"verbenareach/internal/event/logger"
	"verbenareach/internal/wire/messenger"
)

// membership is the list of members from a log index on. It takes effect as soon
// as it is in the log, committed or not.
type membership struct {
	index   uint64
	members []*messenger.LogMember
}

// maxLag is the number of committed entries that a learner may lack when it becomes a voter.
const maxLag = 64

// Add adds a host to the membership: as a learner first, and as a voter once it
// has caught up. Before the promotion it removes a former member of the same name,
// whose data are lost. If ctx ends before, the host stays a learner; the call may be
// repeated.
func (r *Replicator) Add(ctx context.Context, host Peer) error {
	identity, err := r.Identify(ctx, host)
	if err != nil {
		return err
	}
	if err := r.AddLearner(ctx, identity); err != nil {
		return err
	}
	return r.Promote(ctx, identity.ID)
}

// SubmitAdd is Add callable on any host: it forwards the request to the leader.
func (r *Replicator) SubmitAdd(ctx context.Context, host Peer) error {
	return r.withLeader(ctx, func(address string) error {
		if address == "" {
			return r.Add(ctx, host)
		}
		_, err := r.askLeader(ctx, address, &messenger.PeerRequest{
			Body: &messenger.PeerRequest_Add{Add: &messenger.AddRequest{Name: host.Name, Address: host.Address}},
		})
		return err
	})
}

// SubmitRemove is Remove callable on any host: it forwards the request to the leader.
func (r *Replicator) SubmitRemove(ctx context.Context, id string) error {
	return r.withLeader(ctx, func(address string) error {
		if address == "" {
			return r.Remove(ctx, id)
		}
		_, err := r.askLeader(ctx, address, &messenger.PeerRequest{
			Body: &messenger.PeerRequest_Remove{Remove: &messenger.RemoveRequest{Id: id}},
		})
		return err
	})
}

// AddLearner adds an identified host that receives the log but does not vote.
func (r *Replicator) AddLearner(ctx context.Context, host Identity) error {
	return r.changeMembership(ctx, func(members []*messenger.LogMember) ([]*messenger.LogMember, error) {
		for _, m := range members {
			if m.Id == host.ID {
				return members, nil
			}
			if m.Address == host.Address && m.Name != host.Name {
				return nil, &RefusedError{Reason: fmt.Sprintf("address belongs to %s", m.Name)}
			}
		}
		if len(host.members) > 0 && !shareMember(members, host.members) {
			return nil, &RefusedError{Reason: fmt.Sprintf("%s belongs to a membership already", host.Name)}
		}
		learner := &messenger.LogMember{Name: host.Name, Id: host.ID, Address: host.Address}
		return append(slices.Clone(members), learner), nil
	})
}

// Promote waits until a learner has caught up and makes it a voter. id is the
// learner's id or name. Other members of the same name are removed first.
func (r *Replicator) Promote(ctx context.Context, id string) error {
	if err := r.awaitCaughtUp(ctx, id); err != nil {
		return err
	}
	r.mu.Lock()
	learner := r.findMember(id)
	var former []string
	for _, m := range r.members() {
		if learner != nil && m.Name == learner.Name && m.Id != learner.Id {
			former = append(former, m.Id)
		}
	}
	r.mu.Unlock()
	if learner == nil {
		return &RefusedError{Reason: fmt.Sprintf("%s is no member", id)}
	}
	for _, old := range former {
		if err := r.Remove(ctx, old); err != nil {
			return err
		}
	}
	return r.changeMembership(ctx, func(members []*messenger.LogMember) ([]*messenger.LogMember, error) {
		changed := slices.Clone(members)
		for i, m := range changed {
			if m.Id == learner.Id {
				changed[i] = &messenger.LogMember{Name: m.Name, Id: m.Id, Address: m.Address, Voter: true}
			}
		}
		return changed, nil
	})
}

// Remove removes all members whose id or name is id, one after the other.
func (r *Replicator) Remove(ctx context.Context, id string) error {
	matches := func(m *messenger.LogMember) bool { return m.Id == id || m.Name == id }
	known := func() bool {
		r.mu.Lock()
		defer r.mu.Unlock()
		return slices.ContainsFunc(r.members(), matches)
	}
	if !known() {
		return &RefusedError{Reason: fmt.Sprintf("%s is no member", id)}
	}
	for known() {
		err := r.changeMembership(ctx, func(members []*messenger.LogMember) ([]*messenger.LogMember, error) {
			at := slices.IndexFunc(members, matches)
			if at < 0 {
				return members, nil
			}
			return slices.Delete(slices.Clone(members), at, at+1), nil
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// TransferLeadership transfers leadership to the live voter that holds most of the log, and
// waits until a new leader is known, up to twice the election timeout. It refuses proposals
// in the meantime.
func (r *Replicator) TransferLeadership(ctx context.Context) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.role != leader || !r.running {
		return r.notLeader()
	}
	target := r.transferTarget()
	if target == nil {
		return &RefusedError{Reason: "no other voter answers"}
	}
	ctx, cancel := context.WithTimeout(ctx, 2*r.ElectionTimeout)
	defer cancel()
	term := r.term
	leads := func() bool { return r.role == leader && r.term == term }
	r.transferTo = target.id
	defer func() { r.transferTo = "" }()
	if err := r.await(ctx, func() bool { return !leads() || target.match == r.lastIndex() }); err != nil {
		return err
	}
	if leads() {
		r.sendTimeoutNow(target)
	}
	return r.await(ctx, func() bool { return !leads() && r.leader.Name != "" })
}

// awaitCaughtUp waits until a learner is alive, holds all entries that were
// committed at the time of the call, and lags the commit index by at most maxLag entries.
// It also returns nil if there is no such member.
func (r *Replicator) awaitCaughtUp(ctx context.Context, id string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.role != leader {
		return r.notLeader()
	}
	term, target := r.term, r.commit
	err := r.await(ctx, func() bool {
		m := r.findMember(id)
		if m == nil || r.role != leader || r.term != term || m.Id == r.rec.ID() {
			return true
		}
		p := r.peers[m.Id]
		return p.match >= target && r.caughtUp(p)
	})
	if err == nil && (r.role != leader || r.term != term) {
		return r.notLeader()
	}
	return err
}

// caughtUp reports whether a peer is alive, holds a part of the log and lags the commit index by
// at most maxLag entries.
func (r *Replicator) caughtUp(p *peer) bool {
	return p.match > 0 && p.match+maxLag >= r.commit && r.alive(p)
}

// transferTarget returns the live voter that holds most of the log, nil if no other voter
// is alive.
func (r *Replicator) transferTarget() *peer {
	var best *peer
	for _, m := range r.members() {
		p := r.peers[m.Id]
		if m.Voter && p != nil && r.alive(p) && (best == nil || p.match > best.match) {
			best = p
		}
	}
	return best
}

// changeMembership commits the membership that f returns for the current one, unless both
// are equal. It first waits until the previous change is committed, so that only one is in
// progress. After OutcomeUnknownError the change may be committed; after other errors it is
// not.
func (r *Replicator) changeMembership(
	ctx context.Context, f func([]*messenger.LogMember) ([]*messenger.LogMember, error),
) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.role != leader || !r.running {
		return r.notLeader()
	}
	term := r.term
	leads := func() bool { return r.role == leader && r.term == term }
	err := r.await(ctx, func() bool {
		return !leads() || r.commit >= r.firstOfTerm && r.membership().index <= r.commit
	})
	if err != nil {
		return err
	}
	if !leads() || r.transferTo != "" {
		return r.notLeader()
	}
	old := r.members()
	members, err := f(old)
	if err != nil || slices.Equal(members, old) {
		return err
	}
	if err := r.checkQuorum(ctx, members); err != nil {
		return err
	}
	if !leads() || r.transferTo != "" || !slices.Equal(r.members(), old) {
		return r.notLeader()
	}
	data, err := proto.Marshal(&messenger.LogMembers{Members: members})
	if err != nil {
		return err
	}
	index, err := r.appendAsLeader(messenger.LogEntry_KIND_MEMBERS, data)
	if err != nil {
		return err
	}
	err = r.await(ctx, func() bool { return r.commit >= index || !leads() })
	if err != nil {
		return &OutcomeUnknownError{Cause: err}
	}
	if r.commit < index {
		return &OutcomeUnknownError{Cause: r.notLeader()}
	}
	if at, ok := r.rec.Term(index); ok && at != term {
		return r.notLeader()
	}
	return nil
}

// checkQuorum rejects a membership unless a quorum of its voters replies in a new
// confirmation round. Without a quorum neither the entry of the membership nor any
// later entry could be committed. If the host loses the leadership meanwhile, it returns
// nil, and the caller must check that.
func (r *Replicator) checkQuorum(ctx context.Context, members []*messenger.LogMember) error {
	ctx, cancel := context.WithTimeout(ctx, 2*r.ElectionTimeout)
	defer cancel()
	r.round++
	round := r.round
	for _, p := range r.peers {
		p.notify()
	}
	voters, answered := 0, 0
	err := r.await(ctx, func() bool {
		voters, answered = 0, 0
		for _, m := range members {
			if !m.Voter {
				continue
			}
			voters++
			if p := r.peers[m.Id]; m.Id == r.rec.ID() || p != nil && p.ackedRound >= round {
				answered++
			}
		}
		return answered > voters/2 || r.role != leader
	})
	if err != nil {
		return &RefusedError{Reason: fmt.Sprintf("only %d of the %d voters after the change answer", answered, voters)}
	}
	return nil
}

// findMember returns a member by id, or else by name, learners first.
func (r *Replicator) findMember(id string) *messenger.LogMember {
	if m := r.member(id); m != nil {
		return m
	}
	var found *messenger.LogMember
	for _, m := range r.members() {
		if m.Name == id && (found == nil || !m.Voter) {
			found = m
		}
	}
	return found
}

// updateMemberships drops the memberships that newly appended entries replaced and adds
// those among the entries.
func (r *Replicator) updateMemberships(entries []*messenger.LogEntry) error {
	first := entries[0].Index
	n := len(r.memberships)
	for n > 0 && r.memberships[n-1].index >= first {
		n--
	}
	changed := n < len(r.memberships)
	r.memberships = r.memberships[:n]
	for _, e := range entries {
		if e.Kind != messenger.LogEntry_KIND_MEMBERS {
			continue
		}
		var list messenger.LogMembers
		if err := proto.Unmarshal(e.Data, &list); err != nil {
			return err
		}
		r.memberships = append(r.memberships, membership{index: e.Index, members: list.Members})
		changed = true
	}
	if changed {
		r.updatePeers()
		r.emit(logger.ControlMembersChanged, logger.F("index", r.membership().index), logger.F("members", r.memberNames()))
	}
	return nil
}

// sendTimeoutNow asks a voter to start an election at once. The message does not wait for
// records to become durable.
func (r *Replicator) sendTimeoutNow(p *peer) {
	m := r.newMessage(p.id)
	m.Body = &messenger.PeerMessage_TimeoutNow{TimeoutNow: &messenger.TimeoutNow{}}
	p.queue = append(p.queue, m)
	p.notify()
}

// loadMemberships reads the memberships from the snapshot and the log.
func (r *Replicator) loadMemberships() error {
	r.memberships = nil
	if snap := r.rec.Snapshot(); snap != nil {
		r.memberships = append(r.memberships, membership{index: snap.Index, members: snap.Members})
	}
	from := max(r.rec.FirstIndex(), r.membership().index+1)
	for from <= r.lastIndex() {
		entries, _ := r.rec.Entries(from, maxApplyBytes)
		for _, e := range entries {
			if e.Kind != messenger.LogEntry_KIND_MEMBERS {
				continue
			}
			var list messenger.LogMembers
			if err := proto.Unmarshal(e.Data, &list); err != nil {
				return err
			}
			r.memberships = append(r.memberships, membership{index: e.Index, members: list.Members})
		}
		from += uint64(len(entries))
	}
	return nil
}

func (r *Replicator) member(id string) *messenger.LogMember {
	for _, m := range r.members() {
		if m.Id == id {
			return m
		}
	}
	return nil
}

func (r *Replicator) members() []*messenger.LogMember { return r.membership().members }

// membership returns the newest membership, or the zero value if there is none.
func (r *Replicator) membership() membership {
	if n := len(r.memberships); n > 0 {
		return r.memberships[n-1]
	}
	return membership{}
}

// membershipAt returns the membership in effect at an index. The index must not be
// below that of the newest snapshot.
func (r *Replicator) membershipAt(index uint64) membership {
	for i := len(r.memberships) - 1; i >= 0; i-- {
		if r.memberships[i].index <= index {
			return r.memberships[i]
		}
	}
	return membership{}
}

// memberNames returns the names of the members, as they are logged.
func (r *Replicator) memberNames() []string {
	var names []string
	for _, m := range r.members() {
		name := m.Name
		if !m.Voter {
			name += " (learner)"
		}
		names = append(names, name)
	}
	return names
}
