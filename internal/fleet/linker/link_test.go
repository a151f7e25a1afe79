package linker

import (
	"context"
	"errors"
	"testing"
	"time"

	"verbenareach/internal/wire/messenger"
)

// lateStream gives its first message only once released, and then no more.
type lateStream struct {
	release chan struct{}
	given   bool
}

func (s *lateStream) Send(*messenger.LinkMessage) error { return nil }

func (s *lateStream) Recv() (*messenger.LinkMessage, error) {
	<-s.release
	if s.given {
		return nil, errors.New("stream has ended")
	}
	s.given = true
	return &messenger.LinkMessage{Host: &messenger.FleetHost{Name: "late"}}, nil
}

func newBareLinker() *Linker {
	return &Linker{
		Self: &messenger.FleetHost{Name: "self"}, Fill: func(*messenger.LinkMessage) {},
		Joined: func(*messenger.FleetHost) {}, Left: func(*messenger.FleetHost) {},
		Receive: func(*messenger.FleetHost, *messenger.LinkMessage) {},
	}
}

func TestLinkThatEndedBeforeItsFirstMessageIsNoLink(t *testing.T) {
	l := newBareLinker()
	s := &lateStream{release: make(chan struct{})}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	l.serve(ctx, s, nil)
	close(s.release)
	time.Sleep(50 * time.Millisecond)
	if n := len(l.Linked()); n != 0 {
		t.Errorf("%d links after the only one has ended", n)
	}
}

func TestSilentHostIsLeft(t *testing.T) {
	l := newBareLinker()
	s := &lateStream{release: make(chan struct{}, 1)}
	s.release <- struct{}{}
	left := make(chan string, 1)
	l.Left = func(host *messenger.FleetHost) { left <- host.Name }
	begun := time.Now()
	go l.serve(context.Background(), s, nil)
	select {
	case host := <-left:
		if took := time.Since(begun); host != "late" || took < silenceLimit {
			t.Errorf("%q left after %v", host, took)
		}
	case <-time.After(3 * time.Second):
		t.Error("a silent host still counts as linked")
	}
	close(s.release)
}
