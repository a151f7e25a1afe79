package replicator

import (
	"context"
	"fmt"
	"slices"

	"google.golang.org/protobuf/proto"

	"verbenareach/internal/event/logger"
	"verbenareach/internal/wire/messenger"
)

// membership is the list of members from an index of the log on. It counts from
// when it is in the log, committed or not.
type membership struct {
	index   uint64
	members []*messenger.LogMember
}

// maxLag is how many entries a learner may lack to become a voter.
const maxLag = 64

// Add brings a host into the membership: as a learner first, and as a voter once it
// has caught up. A former host of the same name, whose data are lost, is removed
// between the two.
func (r *Replicator) Add(ctx context.Context, host Peer) error {
	id, err := r.AddLearner(ctx, host)
	if err != nil {
		return err
	}
	return r.Promote(ctx, id)
}

// AddFrom is Add on any host: it asks the leader.
func (r *Replicator) AddFrom(ctx context.Context, host Peer) error {
	return r.atLeader(ctx, func(address string) error {
		if address == "" {
			return r.Add(ctx, host)
		}
		_, err := r.ask(ctx, address, &messenger.PeerRequest{
			Body: &messenger.PeerRequest_Add{Add: &messenger.AddRequest{Name: host.Name, Address: host.Address}},
		})
		return err
	})
}

// RemoveFrom is Remove on any host: it asks the leader.
func (r *Replicator) RemoveFrom(ctx context.Context, id string) error {
	return r.atLeader(ctx, func(address string) error {
		if address == "" {
			return r.Remove(ctx, id)
		}
		_, err := r.ask(ctx, address, &messenger.PeerRequest{
			Body: &messenger.PeerRequest_Remove{Remove: &messenger.RemoveRequest{Id: id}},
		})
		return err
	})
}

// AddLearner adds a host that follows the log and does not vote, and returns its id.
func (r *Replicator) AddLearner(ctx context.Context, host Peer) (id string, err error) {
	reply, err := r.Ask(ctx, host.Address, &messenger.PeerRequest{
		Body: &messenger.PeerRequest_Hello{Hello: &messenger.HelloRequest{Name: r.Name}},
	})
	if err != nil {
		return "", &RefusedError{Reason: fmt.Sprintf("%s does not answer at %s: %v", host.Name, host.Address, err)}
	}
	hello := reply.GetHello()
	if hello.GetName() == host.Name && hello.GetId() == "" {
		return "", &RefusedError{Reason: host.Name + " is still starting: try again"}
	}
	if hello.GetName() != host.Name {
		return "", &RefusedError{Reason: fmt.Sprintf("host at %s calls itself %q", host.Address, hello.GetName())}
	}
	err = r.change(ctx, func(members []*messenger.LogMember) ([]*messenger.LogMember, error) {
		for _, m := range members {
			if m.Id == hello.Id {
				return members, nil
			}
			if m.Address == host.Address && m.Name != host.Name {
				return nil, &RefusedError{Reason: fmt.Sprintf("address belongs to %s", m.Name)}
			}
		}
		if len(hello.Members) > 0 && !related(members, hello.Members) {
			return nil, &RefusedError{Reason: fmt.Sprintf("%s belongs to a membership already", host.Name)}
		}
		learner := &messenger.LogMember{Name: host.Name, Id: hello.Id, Address: host.Address}
		return append(slices.Clone(members), learner), nil
	})
	return hello.Id, err
}

// related tells whether two memberships share an identity: those of one log do, also
// where one of them is old.
func related(a, b []*messenger.LogMember) bool {
	return slices.ContainsFunc(a, func(m *messenger.LogMember) bool {
		return slices.ContainsFunc(b, func(o *messenger.LogMember) bool { return o.Id == m.Id })
	})
}

// Promote makes a learner a voter once it has caught up, and waits for that. id may be
// its name as well. Other voters of the same name are removed first.
func (r *Replicator) Promote(ctx context.Context, id string) error {
	if err := r.awaitCaughtUp(ctx, id); err != nil {
		return err
	}
	r.mu.Lock()
	learner := r.find(id)
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
	return r.change(ctx, func(members []*messenger.LogMember) ([]*messenger.LogMember, error) {
		changed := slices.Clone(members)
		for i, m := range changed {
			if m.Id == learner.Id {
				changed[i] = &messenger.LogMember{Name: m.Name, Id: m.Id, Address: m.Address, Voter: true}
			}
		}
		return changed, nil
	})
}

// Remove takes hosts out of the membership, by id or name, one after the other.
func (r *Replicator) Remove(ctx context.Context, id string) error {
	names := func(m *messenger.LogMember) bool { return m.Id == id || m.Name == id }
	known := func() bool {
		r.mu.Lock()
		defer r.mu.Unlock()
		return slices.ContainsFunc(r.members(), names)
	}
	if !known() {
		return &RefusedError{Reason: fmt.Sprintf("%s is no member", id)}
	}
	for known() {
		err := r.change(ctx, func(members []*messenger.LogMember) ([]*messenger.LogMember, error) {
			at := slices.IndexFunc(members, names)
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

// TransferLeadership has another voter elected, the one that holds most of the
// log, and waits until it leads. Proposals are refused meanwhile.
func (r *Replicator) TransferLeadership(ctx context.Context) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.role != leader || !r.running {
		return r.notLeader()
	}
	best := r.bestVoter()
	if best == nil {
		return &RefusedError{Reason: "no other voter answers"}
	}
	ctx, cancel := context.WithTimeout(ctx, 2*r.ElectionTimeout)
	defer cancel()
	term := r.term
	leads := func() bool { return r.role == leader && r.term == term }
	r.transferTo = best.id
	defer func() { r.transferTo = "" }()
	if err := r.await(ctx, func() bool { return !leads() || best.match == r.lastIndex() }); err != nil {
		return err
	}
	if leads() {
		r.handOver(best)
	}
	return r.await(ctx, func() bool { return !leads() && r.leader.Name != "" })
}

// awaitCaughtUp waits until a learner holds all that was committed when it was
// asked, and lags by no more than maxLag entries.
func (r *Replicator) awaitCaughtUp(ctx context.Context, id string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.role != leader {
		return r.notLeader()
	}
	term, target := r.term, r.commit
	err := r.await(ctx, func() bool {
		m := r.find(id)
		if m == nil || r.role != leader || r.term != term || m.Id == r.rec.ID() {
			return true
		}
		p := r.peers[m.Id]
		return p.match >= target && p.match+maxLag >= r.commit && r.alive(p)
	})
	if err == nil && (r.role != leader || r.term != term) {
		return r.notLeader()
	}
	return err
}

// bestVoter returns the voter that answers and holds most of the log; nil if none answers.
func (r *Replicator) bestVoter() *peer {
	var best *peer
	for _, m := range r.members() {
		p := r.peers[m.Id]
		if m.Voter && p != nil && r.alive(p) && (best == nil || p.match > best.match) {
			best = p
		}
	}
	return best
}

// change commits a new membership, one at a time.
func (r *Replicator) change(
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
	index, err := r.appendOwn(messenger.LogEntry_KIND_MEMBERS, data)
	if err != nil {
		return err
	}
	err = r.await(ctx, func() bool { return r.commit >= index || r.term != term })
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

// checkQuorum refuses a membership of which no quorum answers when asked now: its
// entry could not be committed, nor could any other.
func (r *Replicator) checkQuorum(ctx context.Context, members []*messenger.LogMember) error {
	ctx, cancel := context.WithTimeout(ctx, 2*r.ElectionTimeout)
	defer cancel()
	r.round++
	round := r.round
	for _, p := range r.peers {
		p.poke()
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

// find returns a member by id, or else by name with learners first.
func (r *Replicator) find(id string) *messenger.LogMember {
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

// followMemberships takes up the memberships among entries that were appended,
// and forgets those that they replaced.
func (r *Replicator) followMemberships(entries []*messenger.LogEntry) error {
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
		r.linkMembers()
		r.emit(logger.ControlMembersChanged, logger.F("index", r.membership().index), logger.F("members", r.names()))
	}
	return nil
}

// handOver asks a voter to stand for election at once. It needs nothing to be durable.
func (r *Replicator) handOver(p *peer) {
	m := r.message(p.id)
	m.Body = &messenger.PeerMessage_TimeoutNow{TimeoutNow: &messenger.TimeoutNow{}}
	p.queue = append(p.queue, m)
	p.poke()
}

// loadMemberships reads the memberships of the snapshot and the log.
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

// membership returns the newest membership, the zero one if there is none.
func (r *Replicator) membership() membership {
	if n := len(r.memberships); n > 0 {
		return r.memberships[n-1]
	}
	return membership{}
}

// membershipAt returns the membership that counted at an index, which is not below
// that of the newest snapshot.
func (r *Replicator) membershipAt(index uint64) membership {
	for i := len(r.memberships) - 1; i >= 0; i-- {
		if r.memberships[i].index <= index {
			return r.memberships[i]
		}
	}
	return membership{}
}

func (r *Replicator) names() []string {
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
