package replicator

import (
	"context"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"verbenareach/internal/event/logger"
	"verbenareach/internal/wire/messenger"
)

// bootstrapLoop runs until the host is in a membership. At the first start of all hosts,
// the one with the lowest name, the bootstrap host, writes the first membership with the
// identities of all hosts, once each of them has replied that it has no members yet. A host
// that lost its data has an identity that the others don't know, so it can neither
// bootstrap nor vote. A host that found its log damaged asks the leader to be rebuilt.
func (r *Replicator) bootstrapLoop(ctx context.Context) {
	reported := false // ControlNotMember is logged once.
	for r.awaitsMembership() {
		hellos, complete := r.collectHellos(ctx)
		known := slices.ContainsFunc(hellos, func(h *messenger.HelloReply) bool { return len(h.Members) > 0 })
		switch {
		case known && len(r.rec.Replaces()) > 0:
			r.requestJoin(ctx, hellos)
		case known && !reported:
			reported = true
			r.mu.Lock()
			r.emit(logger.ControlNotMember)
			r.mu.Unlock()
		case !known && complete && r.isBootstrapHost() && len(r.rec.Replaces()) == 0:
			r.writeFirstMembership(hellos)
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(r.ElectionTimeout / 2):
		}
	}
}

// requestJoin asks the leader to add this host in place of its former identity, whose log
// was damaged. bootstrapLoop repeats it until the host is a voter, so errors are ignored.
func (r *Replicator) requestJoin(ctx context.Context, hellos []*messenger.HelloReply) {
	for _, h := range hellos {
		if h.LeaderAddress == "" {
			continue
		}
		ctx, cancel := context.WithTimeout(ctx, rebuildTimeout)
		_, _ = r.Ask(ctx, h.LeaderAddress, &messenger.PeerRequest{Body: &messenger.PeerRequest_Join{
			Join: &messenger.JoinRequest{
				Name: r.Name, Id: r.rec.ID(), Address: r.Address, Replaces: r.rec.Replaces(),
			},
		}})
		cancel()
		return
	}
}

// rebuildTimeout bounds one attempt to rebuild a host.
const rebuildTimeout = 30 * time.Second

// writeFirstMembership appends the first membership to an empty log and starts a pre-vote.
func (r *Replicator) writeFirstMembership(hellos []*messenger.HelloReply) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.members()) > 0 || r.lastIndex() > 0 || !r.running {
		return
	}
	ids := map[string]string{r.Name: r.rec.ID()}
	for _, h := range hellos {
		ids[h.Name] = h.Id
	}
	var list messenger.LogMembers
	for _, p := range r.Peers {
		if ids[p.Name] == "" {
			return
		}
		list.Members = append(list.Members, &messenger.LogMember{
			Name: p.Name, Id: ids[p.Name], Address: p.Address, Voter: true,
		})
	}
	data, err := proto.Marshal(&list)
	if err != nil {
		r.fail(err)
		return
	}
	r.setTerm(max(r.term, 1), r.vote)
	e := &messenger.LogEntry{Index: 1, Term: 1, Kind: messenger.LogEntry_KIND_MEMBERS, Data: data}
	if err := r.appendEntries(e); err != nil {
		r.fail(err)
		return
	}
	r.startPreVote()
}

// isBootstrapHost reports whether this host has the lowest name of those at the first
// start.
func (r *Replicator) isBootstrapHost() bool {
	return !slices.ContainsFunc(r.Peers, func(p Peer) bool { return p.Name < r.Name }) &&
		slices.ContainsFunc(r.Peers, func(p Peer) bool { return p.Name == r.Name })
}

// collectHellos requests the identities and memberships of the other hosts at the first
// start, and reports whether all of them replied.
func (r *Replicator) collectHellos(ctx context.Context) (replies []*messenger.HelloReply, complete bool) {
	complete = true
	for _, p := range r.Peers {
		if p.Name == r.Name {
			continue
		}
		ctx, cancel := context.WithTimeout(ctx, r.ElectionTimeout)
		reply, err := r.Ask(ctx, p.Address, &messenger.PeerRequest{
			Body: &messenger.PeerRequest_Hello{Hello: &messenger.HelloRequest{Name: r.Name, Id: r.rec.ID()}},
		})
		cancel()
		hello := reply.GetHello()
		if err != nil || hello.GetName() != p.Name || hello.GetId() == "" {
			complete = false
			continue
		}
		replies = append(replies, hello)
	}
	return replies, complete
}

// awaitsMembership reports whether the host knows no members yet, or is to be rebuilt and
// is not yet a voter.
func (r *Replicator) awaitsMembership() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.running {
		return false
	}
	if len(r.rec.Replaces()) > 0 {
		self := r.member(r.rec.ID())
		return self == nil || !self.Voter
	}
	return len(r.members()) == 0
}

// handleJoin adds a host that found its log damaged, in place of its former identity. It
// runs on the leader.
func (r *Replicator) handleJoin(ctx context.Context, join *messenger.JoinRequest) error {
	r.mu.Lock()
	known := slices.ContainsFunc(r.members(), func(m *messenger.LogMember) bool {
		return m.Name == join.Name && (m.Id == join.Id || slices.Contains(join.Replaces, m.Id))
	})
	r.mu.Unlock()
	if !known {
		return &RefusedError{Reason: join.Name + " was no member: add it by operator command"}
	}
	return r.Add(ctx, Peer{Name: join.Name, Address: join.Address})
}
