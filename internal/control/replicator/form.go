package replicator

import (
	"context"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"verbenareach/internal/event/logger"
	"verbenareach/internal/wire/messenger"
)

// formLoop brings a host without members into being. At the first start of all
// hosts the one with the lowest name, the founder, writes the first membership,
// with the identities of all, once each of them has answered that it has no
// members yet. A host whose data were lost has another identity than the others
// know, so it can neither found nor vote; one that found its log damaged asks the
// others to be rebuilt.
func (r *Replicator) formLoop(ctx context.Context) {
	told := false
	for r.outside() {
		hellos, complete := r.hellos(ctx)
		known := slices.ContainsFunc(hellos, func(h *messenger.HelloReply) bool { return len(h.Members) > 0 })
		switch {
		case known && len(r.rec.Replaces()) > 0:
			r.askToJoin(ctx, hellos)
		case known && !told:
			told = true
			r.mu.Lock()
			r.emit(logger.ControlNotMember)
			r.mu.Unlock()
		case !known && complete && r.founder() && len(r.rec.Replaces()) == 0:
			r.found(hellos)
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(r.ElectionTimeout / 2):
		}
	}
}

// askToJoin asks the leader to take this host in place of its damaged self.
func (r *Replicator) askToJoin(ctx context.Context, hellos []*messenger.HelloReply) {
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

// rebuildTimeout bounds one try to rebuild a host.
const rebuildTimeout = 30 * time.Second

// found writes the first membership.
func (r *Replicator) found(hellos []*messenger.HelloReply) {
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
	r.campaign()
}

// founder tells whether this host has the lowest name of the first start.
func (r *Replicator) founder() bool {
	return !slices.ContainsFunc(r.Peers, func(p Peer) bool { return p.Name < r.Name }) &&
		slices.ContainsFunc(r.Peers, func(p Peer) bool { return p.Name == r.Name })
}

// hellos asks the other hosts of the first start who they are, and tells whether
// all of them answered.
func (r *Replicator) hellos(ctx context.Context) (replies []*messenger.HelloReply, complete bool) {
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

// outside tells whether the host knows no members yet, or is to be rebuilt and is
// not yet a voter.
func (r *Replicator) outside() bool {
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

// rebuild takes a host in that found its log damaged, in place of its former
// identity. It runs on the leader.
func (r *Replicator) rebuild(ctx context.Context, join *messenger.JoinRequest) error {
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
