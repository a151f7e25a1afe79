package controller

import (
	"cmp"
	"context"
	"slices"
	"time"

	"verbenareach/internal/control/registrar"
	"verbenareach/internal/operator/responder"
	"verbenareach/internal/wire/messenger"
)

// followerStatus is the merged state of the followers of all reachable control hosts.
type followerStatus struct {
	// followers holds each follower's state, by name. If several hosts know a follower,
	// it is that of the newest incarnation, from the host with the latest message.
	followers map[string]*messenger.FollowerInfo
	// acks holds the confirmation of each server's newest incarnation with the highest
	// mark number, by server name.
	acks map[string]*messenger.MarkAck
	// unreachable are the names of the control hosts that did not answer.
	unreachable []string
}

// byStream is the ConfirmedBy of a mark confirmed in the agent's report.
const byStream = "stream"

// gatherFollowerStatus merges the state of this host's followers with that from the
// other control hosts.
func (c *Controller) gatherFollowerStatus(ctx context.Context, now time.Time) followerStatus {
	own := c.distributor.Followers(now)
	own.Acks = c.markPusher.listAcks()
	replies, unreachable := c.peers.followers(ctx)
	s := followerStatus{
		followers: make(map[string]*messenger.FollowerInfo), acks: make(map[string]*messenger.MarkAck), unreachable: unreachable,
	}
	for _, reply := range append(replies, own) {
		for _, f := range reply.GetFollowers() {
			old, known := s.followers[f.GetName()]
			if !known || newerInfo(f, old) {
				s.followers[f.GetName()] = f
			}
		}
		for _, a := range reply.GetAcks() {
			old, known := s.acks[a.GetServer()]
			if !known || cmp.Or(cmp.Compare(a.GetIncarnation(), old.GetIncarnation()), cmp.Compare(a.GetNumber(), old.GetNumber())) > 0 {
				s.acks[a.GetServer()] = a
			}
		}
	}
	return s
}

// newerInfo reports whether a is of a newer incarnation than b, or of the same one
// with a later message.
func newerInfo(a, b *messenger.FollowerInfo) bool {
	order := cmp.Or(cmp.Compare(a.GetIncarnation(), b.GetIncarnation()), cmp.Compare(b.GetSilentNanos(), a.GetSilentNanos()))
	return order > 0
}

// inForce returns the live entries and agents that have not acknowledged index, and
// the control hosts that did not answer. SilentSeconds is -1 for a member whose
// current incarnation no reachable host knows as a follower.
func (c *Controller) inForce(ctx context.Context, index uint64, now time.Time) responder.InForce {
	s := c.gatherFollowerStatus(ctx, now)
	f := responder.InForce{Index: index, Missing: []responder.Missing{}, Unreachable: s.unreachable}
	c.distributor.View().EachMember(func(m registrar.Member) {
		f.Live++
		known := s.followers[m.Name]
		current := known.GetIncarnation() == m.Incarnation
		if current && known.GetIndex() >= index {
			return
		}
		missing := responder.Missing{Name: m.Name, Role: string(m.Role), Address: m.Address, SilentSeconds: -1}
		if current {
			missing.Index, missing.SilentSeconds = known.GetIndex(), seconds(known.GetSilentNanos())
		}
		f.Missing = append(f.Missing, missing)
	})
	slices.SortFunc(f.Missing, func(a, b responder.Missing) int { return cmp.Compare(a.Name, b.Name) })
	return f
}

// servers returns all backend servers that are live or have a mark, sorted by name.
func (c *Controller) servers(ctx context.Context, now time.Time) responder.ServerList {
	s := c.gatherFollowerStatus(ctx, now)
	view := c.distributor.View()
	list := responder.ServerList{Servers: []responder.Server{}, Unreachable: s.unreachable}
	view.EachMember(func(m registrar.Member) {
		if m.Role == registrar.RoleAgent {
			list.Servers = append(list.Servers, s.server(m, view.Mark(m.Name)))
		}
	})
	view.EachMark(func(m registrar.Mark) {
		if _, live := view.Member(m.Server); !live {
			list.Servers = append(list.Servers, responder.Server{Name: m.Server, Mark: m, SilentSeconds: -1})
		}
	})
	slices.SortFunc(list.Servers, func(a, b responder.Server) int { return cmp.Compare(a.Name, b.Name) })
	return list
}

// server returns the status of one live backend server. Its mark is confirmed if the
// current incarnation answered a pushed mark of that number or a higher one, or
// reports one.
func (s followerStatus) server(m registrar.Member, mark registrar.Mark) responder.Server {
	server := responder.Server{
		Name: m.Name, Live: true, FailureDomain: m.FailureDomain, Region: m.Region, Address: m.Address,
		Incarnation: m.Incarnation, JoinedAt: m.JoinedAt, Backend: m.Backend, Mark: mark, SilentSeconds: -1,
	}
	if ack := s.acks[m.Name]; ack.GetIncarnation() == m.Incarnation && ack.GetNumber() >= mark.Number {
		server.Confirmed, server.ConfirmedBy, server.InProgress = true, ack.GetBy(), ack.GetInProgress()
	}
	if f := s.followers[m.Name]; f.GetIncarnation() == m.Incarnation {
		server.SilentSeconds = seconds(f.GetSilentNanos())
		server.InProgress, server.OldestSeconds = f.GetReport().GetInProgress(), f.GetReport().GetOldestSeconds()
		if f.GetReport().GetMarkNumber() >= mark.Number {
			server.Confirmed, server.ConfirmedBy = true, byStream
		}
	}
	return server
}

// seconds returns nanoseconds as seconds, rounded to milliseconds.
func seconds(nanos int64) float64 {
	return time.Duration(nanos).Round(time.Millisecond).Seconds()
}
