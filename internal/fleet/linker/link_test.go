package linker

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"time"

	"verbenareach/internal/wire/messenger"
)

// stubStream receives one message for each value sent on release, and ends when release is
// closed.
type stubStream struct {
	release chan struct{}
}

func (s *stubStream) Send(*messenger.LinkMessage, int) error { return nil }

func (s *stubStream) Recv() (*messenger.LinkMessage, error) {
	if _, open := <-s.release; !open {
		return nil, errors.New("stream has ended")
	}
	return &messenger.LinkMessage{Host: &messenger.FleetHost{Name: "late"}}, nil
}

func newBareLinker() *Linker {
	return &Linker{
		Self: &messenger.FleetHost{Name: "self"}, Fill: func(*messenger.LinkMessage) {},
		HubLearned: func(*messenger.FleetHost) {}, DialFailed: func(*messenger.FleetHost, error) {},
		LinkUp: func(*messenger.FleetHost) {}, LinkDown: func(*messenger.FleetHost, LinkEnd) {},
		Receive: func(*messenger.FleetHost, *messenger.LinkMessage) {}, LeftOut: func(LeftOut) {},
	}
}

func TestLinkThatEndedBeforeItsFirstMessageIsNoLink(t *testing.T) {
	l := newBareLinker()
	s := &stubStream{release: make(chan struct{}, 1)}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	l.serve(ctx, s, nil)
	s.release <- struct{}{}
	close(s.release)
	time.Sleep(50 * time.Millisecond)
	if n := len(l.Linked()); n != 0 {
		t.Errorf("%d links after the only one ended", n)
	}
}

func TestLinkToASilentHostEnds(t *testing.T) {
	l := newBareLinker()
	s := &stubStream{release: make(chan struct{}, 1)}
	s.release <- struct{}{}
	down := make(chan string, 1)
	l.LinkDown = func(host *messenger.FleetHost, end LinkEnd) {
		if !errors.Is(end.Cause, errSilent) || end.Up < receiveTimeout {
			t.Errorf("the end is told as %+v", end)
		}
		down <- host.Name
	}
	begun := time.Now()
	go l.serve(context.Background(), s, nil)
	select {
	case host := <-down:
		if took := time.Since(begun); host != "late" || took < receiveTimeout {
			t.Errorf("link to %q ended after %v", host, took)
		}
	case <-time.After(3 * time.Second):
		t.Error("a silent host still counts as linked")
	}
	close(s.release)
}

func TestMessageOfALinkThatHasEndedIsDropped(t *testing.T) {
	l := newBareLinker()
	received := make(chan struct{}, 8)
	l.Receive = func(*messenger.FleetHost, *messenger.LinkMessage) { received <- struct{}{} }
	s := &stubStream{release: make(chan struct{}, 2)}
	s.release <- struct{}{}
	// serve returns after receiveTimeout.
	l.serve(context.Background(), s, nil)
	<-received
	// After a network partition heals, messages that were sent before it arrive.
	s.release <- struct{}{}
	close(s.release)
	select {
	case <-received:
		t.Error("a message of a link that ended was received")
	case <-time.After(100 * time.Millisecond):
	}
}

func TestMessageOfALinkThatWasReplacedIsDropped(t *testing.T) {
	l := newBareLinker()
	var n atomic.Int32
	l.Receive = func(*messenger.FleetHost, *messenger.LinkMessage) { n.Add(1) }
	older, newer := &stubStream{release: make(chan struct{}, 2)}, &stubStream{release: make(chan struct{}, 2)}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	for i, s := range []*stubStream{older, newer} {
		go l.serve(ctx, s, nil)
		s.release <- struct{}{}
		for n.Load() != int32(i+1) {
			time.Sleep(time.Millisecond)
		}
	}
	older.release <- struct{}{}
	time.Sleep(50 * time.Millisecond)
	if got := n.Load(); got != 2 {
		t.Errorf("%d messages were received, want one of each link", got)
	}
	close(older.release)
	close(newer.release)
}

// A link may end while the next one to the same host comes up. Were LinkDown called last, the host would
// count as lost though its link is up.
func TestEndOfALinkIsToldAfterTheNextOne(t *testing.T) {
	l := newBareLinker()
	ending, proceed := make(chan struct{}), make(chan struct{})
	told := make(chan string, 3)
	l.LinkUp = func(*messenger.FleetHost) { told <- "up" }
	l.LinkDown = func(*messenger.FleetHost, LinkEnd) {
		close(ending)
		<-proceed
		told <- "down"
	}
	first := &messenger.LinkMessage{Host: &messenger.FleetHost{Name: "late"}}
	older, newer := &link{wake: make(chan struct{}, 1)}, &link{wake: make(chan struct{}, 1)}
	l.register(start, older, first)
	go l.unregister(start, older, errLinkEnded)
	<-ending
	registered := make(chan struct{})
	go func() {
		defer close(registered)
		l.register(start, newer, first)
	}()
	select {
	case <-registered:
	case <-time.After(50 * time.Millisecond):
	}
	close(proceed)
	<-registered
	if got := []string{<-told, <-told, <-told}; got[1] != "down" || got[2] != "up" {
		t.Errorf("told %v, want up, down, up", got)
	}
}
