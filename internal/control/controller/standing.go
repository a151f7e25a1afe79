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

// standing is what all control hosts that could be asked know of the followers.
type standing struct {
	// followers by name, the one heard last where several hosts know it.
	followers map[string]*messenger.FollowerInfo
	// acks by server, of the newest incarnation.
	acks        map[string]*messenger.MarkAck
	unreachable []string
}

// byStream names the way by which most marks are confirmed.
const byStream = "stream"

func (c *Controller) standing(ctx context.Context, now time.Time) standing {
	own := c.distributor.Followers(now)
	own.Acks = c.marker.list()
	replies, unreachable := c.peers.followers(ctx)
	s := standing{
		followers: make(map[string]*messenger.FollowerInfo), acks: make(map[string]*messenger.MarkAck), unreachable: unreachable,
	}
	for _, reply := range append(replies, own) {
		for _, f := range reply.GetFollowers() {
			old, known := s.followers[f.GetName()]
			if !known || newer(f, old) {
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

// newer tells whether a is better knowledge of a follower than b.
func newer(a, b *messenger.FollowerInfo) bool {
	order := cmp.Or(cmp.Compare(a.GetIncarnation(), b.GetIncarnation()), cmp.Compare(b.GetSilentNanos(), a.GetSilentNanos()))
	return order > 0
}

// inForce tells which live entries and agents have not acknowledged index.
func (c *Controller) inForce(ctx context.Context, index uint64, now time.Time) responder.InForce {
	s := c.standing(ctx, now)
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

// servers tells of all backend servers that are live or have a mark.
func (c *Controller) servers(ctx context.Context, now time.Time) responder.ServerList {
	s := c.standing(ctx, now)
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

// server tells of one live backend server.
func (s standing) server(m registrar.Member, mark registrar.Mark) responder.Server {
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

func seconds(nanos int64) float64 {
	return time.Duration(nanos).Round(time.Millisecond).Seconds()
}
