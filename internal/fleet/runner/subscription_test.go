package runner

import (
	"context"
	"errors"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"storj.io/drpc"

	"verbenareach/internal/fleet/linker"
	"verbenareach/internal/fleet/subscriber"
	"verbenareach/internal/fleet/tracker"
	"verbenareach/internal/wire/messenger"
)

// linkStub is the stream of a link to a host that names itself and then says nothing.
type linkStub struct {
	messenger.DRPCFleet_LinkStream
	ctx   context.Context
	first *messenger.LinkMessage
	sent  chan *messenger.LinkMessage
}

func (s *linkStub) Context() context.Context { return s.ctx }

func (s *linkStub) MsgSend(m drpc.Message, _ drpc.Encoding) error {
	s.sent <- m.(*messenger.LinkMessage)
	return nil
}

func (s *linkStub) MsgRecv(m drpc.Message, _ drpc.Encoding) error {
	if first := s.first; first != nil {
		s.first = nil
		proto.Merge(m.(*messenger.LinkMessage), first)
		return nil
	}
	<-s.ctx.Done()
	return errors.New("link has ended")
}

// newLinkedHub returns a hub that knows reports, is linked to a host, and what it sends to that host.
func newLinkedHub(t *testing.T, host *messenger.FleetHost, known ...*messenger.Backend) (*Runner, <-chan *messenger.LinkMessage) {
	t.Helper()
	self := &messenger.FleetHost{Name: "hub-1", Hub: true}
	up := make(chan struct{})
	h := &Runner{
		tracker:    &tracker.Tracker{Name: self.Name, SilenceTimeout: time.Minute},
		subscriber: &subscriber.Subscriber{Self: self},
		linker: &linker.Linker{
			Self: self, Fill: func(*messenger.LinkMessage) {}, HubLearned: func(*messenger.FleetHost) {},
			LinkUp: func(*messenger.FleetHost) { close(up) }, LinkDown: func(*messenger.FleetHost, linker.LinkEnd) {},
			Receive: func(*messenger.FleetHost, *messenger.LinkMessage) {}, LeftOut: func(linker.LeftOut) {},
		},
	}
	h.Settings.Host = self
	h.tracker.Merge(time.Now(), known)
	stub := &linkStub{ctx: t.Context(), first: &messenger.LinkMessage{Host: host}, sent: make(chan *messenger.LinkMessage, 100)}
	go func() { _ = h.linker.Accept(stub) }()
	<-up
	return h, stub.sent
}

// awaitReport returns whether the state of a backend server is sent within a second.
func awaitReport(sent <-chan *messenger.LinkMessage, id string, state messenger.Backend_State) bool {
	deadline := time.After(time.Second)
	for {
		select {
		case m := <-sent:
			for _, r := range m.Backends {
				if r.Id == id && r.State == state {
					return true
				}
			}
		case <-deadline:
			return false
		}
	}
}

// A host that was cut off when a backend server left holds it as ready, and asks nobody about it.
func TestHostThatWasCutOffKeepsABackendServerThatHasLeft(t *testing.T) {
	host := &messenger.FleetHost{Name: "host-1"}
	h, sent := newLinkedHub(t, host, &messenger.Backend{Id: "b", Keeper: "host-2", State: messenger.Backend_STATE_GONE})
	h.receiveSubscription(host, &messenger.LinkMessage{Subscribes: true})
	if !awaitReport(sent, "b", messenger.Backend_STATE_GONE) {
		t.Error("the end of the backend server is not told with a new subscription")
	}
}

// The mark that a backend server is draining may come from another host than its keeper.
func TestMarkOfALostHostIsKeptFromAHub(t *testing.T) {
	hub := &messenger.FleetHost{Name: "hub-2", Hub: true}
	h, sent := newLinkedHub(t, hub, &messenger.Backend{Id: "b", Keeper: "host-2", State: messenger.Backend_STATE_DRAINING})
	h.receiveSubscription(hub, &messenger.LinkMessage{Linked: []*messenger.LinkedHosts{{All: true, Up: []string{"host-1"}}}})
	h.receiveSubscription(hub, &messenger.LinkMessage{Linked: []*messenger.LinkedHosts{{Down: []string{"host-1"}}}})
	if !awaitReport(sent, "b", messenger.Backend_STATE_DRAINING) {
		t.Error("a mark that host-1 may have passed on is not told to a hub that has lost its link to host-1")
	}
}
