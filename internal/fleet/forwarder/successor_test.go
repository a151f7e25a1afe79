package forwarder

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"verbenareach/internal/wire/messenger"
)

// supersededEngine is an engine whose run is ordered to move to e2 after its third event, as its client sends
// the request again. The run that follows at the same engine begins with two events, after which following is
// closed, and ends early if the engine is told to stop.
type supersededEngine struct {
	x      **fixture
	framed bool
	// copy is called before the answer to the first copy, stop before the order to stop is carried out.
	copy, stop func()

	following, stopped chan struct{}
	follow             func()
}

// newSupersededEngine returns an engine and what the test may set of it before the first request.
func newSupersededEngine(t *testing.T, x **fixture, framed bool) (*standIn, *supersededEngine) {
	t.Helper()
	e := &supersededEngine{
		x: x, framed: framed, copy: func() {}, stop: func() {}, following: make(chan struct{}), stopped: make(chan struct{}),
	}
	e.follow = sync.OnceFunc(func() { close(e.following) })
	return newStandIn(t, "e1", e.serve), e
}

func (e *supersededEngine) serve(c net.Conn, seen seenRequest) bool {
	switch {
	case seen.Method == http.MethodDelete:
		return answer(c, seen, http.StatusOK, "", "")
	case seen.URL.Path == "/copy" && seen.URL.Query().Get("stop") != "true":
		e.copy()
		return answer(c, seen, http.StatusOK, "", `{"ID":"partial"}`)
	case seen.URL.Path == "/copy":
		e.stop()
		close(e.stopped)
		return answer(c, seen, http.StatusOK, "", `{"ID":"handle"}`)
	}
	e.run(c, seen)
	return false
}

func (e *supersededEngine) run(c net.Conn, seen seenRequest) {
	send := func(text string) { _, _ = io.WriteString(c, text) }
	if e.framed {
		begin(c, seen)
		send = func(text string) { chunk(c, text) }
	} else {
		beginUntilClose(c, seen)
	}
	if seen.Header.Get("T-Last") == "" {
		send(events(1, 3))
		(*e.x).awaitEvents("id-1", 3)
		_ = (*e.x).forwarder.Move(&messenger.MoveOrder{Run: "id-1", From: "e1", To: "e2"})
		_, _ = c.Read(make([]byte, 1))
		return
	}
	send(events(4, 5))
	e.follow()
	select {
	case <-e.stopped:
		// The run is stopped: its response ends without its last events.
	case <-time.After(500 * time.Millisecond):
		send(events(6, 8))
		if e.framed {
			end(c)
		}
	}
}

// sendTwice sends a request, and again under its id once copying is closed. It returns the second response.
func (x *fixture) sendTwice(copying <-chan struct{}) reply {
	x.t.Helper()
	x.place = "e1"
	go func() { x.send("/resume/a", key, "prompt") }()
	<-copying
	return x.send("/resume/a", key+"T-Last: 3\r\n", "prompt")
}

// The client sends the request again under its id, and it comes to the same engine.
func TestMoveOfAGenerationStopsTheOneThatFollowsIt(t *testing.T) {
	for _, framed := range []bool{false, true} {
		t.Run(fmt.Sprintf("framed %t", framed), func(t *testing.T) {
			var x *fixture
			e1, e := newSupersededEngine(t, &x, framed)
			copying := make(chan struct{})
			e.copy = func() {
				close(copying)
				<-e.following
			}
			x = newFixture(t, e1, newStandIn(t, "e2", streams(6, 8)))
			if got := x.sendTwice(copying); got.err != nil || got.body != events(4, 8) {
				t.Errorf("client got %q, %v, want events 4 to 8", got.body, got.err)
			}
			select {
			case <-e.stopped:
				t.Error("the run that follows was told to stop")
			default:
			}
		})
	}
}

// The engine carries the order out only once the run that follows has begun.
func TestOrderToStopAFormerRunEndsAStreamAsComplete(t *testing.T) {
	for _, framed := range []bool{false, true} {
		t.Run(fmt.Sprintf("framed %t", framed), func(t *testing.T) {
			var x *fixture
			e1, e := newSupersededEngine(t, &x, framed)
			copying := make(chan struct{})
			e.stop = func() {
				close(copying)
				<-e.following
			}
			x = newFixture(t, e1, newStandIn(t, "e2", streams(6, 8)))
			if got := x.sendTwice(copying); got.err == nil && got.body != events(4, 8) {
				t.Errorf("client got %q as a complete response", got.body)
			}
		})
	}
}
