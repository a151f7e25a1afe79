package linker

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"verbenareach/internal/wire/messenger"
)

// linkedPair is a hub and a host that is linked to it.
type linkedPair struct {
	host *Linker
	// ended receives the end of each link, on either side.
	ended chan LinkEnd
	// leftOut receives what was left out of messages.
	leftOut chan LeftOut

	mu sync.Mutex
	// received holds the ids of the reports that the hub received.
	received map[string]bool
}

func newLinkedPair(t *testing.T) *linkedPair {
	t.Helper()
	p := &linkedPair{ended: make(chan LinkEnd, 100), leftOut: make(chan LeftOut, 100), received: make(map[string]bool)}
	front := listen(t)
	hub, host := newBareLinker(), newBareLinker()
	p.host = host
	hub.Self = &messenger.FleetHost{Name: "hub", Address: front.Addr().String(), Hub: true}
	host.Seeds = func() []string { return []string{hub.Self.Address} }
	hub.Seeds = host.Seeds
	up := make(chan struct{}, 100)
	host.LinkUp = func(*messenger.FleetHost) { up <- struct{}{} }
	for _, l := range []*Linker{hub, host} {
		l.LinkDown = func(_ *messenger.FleetHost, end LinkEnd) { p.ended <- end }
		l.LeftOut = func(o LeftOut) { p.leftOut <- o }
	}
	hub.Receive = func(_ *messenger.FleetHost, m *messenger.LinkMessage) {
		p.mu.Lock()
		defer p.mu.Unlock()
		for _, b := range m.Backends {
			p.received[b.Id] = true
		}
	}
	runAt(t, hub, front)
	go host.Run(t.Context())
	<-up
	return p
}

// has reports whether the hub has received a report.
func (p *linkedPair) has(id string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.received[id]
}

// send sends reports to the hub, which must get the last one while the link goes on.
func (p *linkedPair) send(t *testing.T, reports ...*messenger.Backend) {
	t.Helper()
	p.host.Enqueue("hub", func(m *messenger.LinkMessage) { m.Backends = append(m.Backends, reports...) })
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end) && !p.has(reports[len(reports)-1].Id); {
		time.Sleep(5 * time.Millisecond)
	}
	for _, r := range reports[1:] {
		if !p.has(r.Id) {
			t.Errorf("report %.20q has not arrived", r.Id)
			break
		}
	}
	select {
	case end := <-p.ended:
		t.Errorf("a link ended: %v", end.Cause)
	default:
	}
}

// checkLeftOut checks that one entry was left out of a message to the hub, and told with want.
func (p *linkedPair) checkLeftOut(t *testing.T, want string) {
	t.Helper()
	select {
	case o := <-p.leftOut:
		if !o.Sent || o.Host.GetName() != "hub" || len(o.Entries) != 1 || !strings.Contains(o.Entries[0], want) {
			t.Errorf("left out: %+v", o)
		}
	case <-time.After(5 * time.Second):
		t.Error("nobody is told what was left out")
	}
}

func TestEntryThatCantBeSentEndsItsLink(t *testing.T) {
	p := newLinkedPair(t)
	p.send(t, &messenger.Backend{Id: "a\xff"}, &messenger.Backend{Id: "i-1"})
	p.checkLeftOut(t, `id "a\xff"`)
}

func TestMessageBeyondTheLargestSizeEndsItsLink(t *testing.T) {
	p := newLinkedPair(t)
	reports := []*messenger.Backend{{Id: "a", Address: strings.Repeat("x", maxMessageBytes)}}
	for n := range 400 {
		reports = append(reports, &messenger.Backend{Id: fmt.Sprint("i-", n), Address: strings.Repeat("x", 60_000)})
	}
	p.send(t, reports...)
	p.checkLeftOut(t, errTooLarge.Error())
}
