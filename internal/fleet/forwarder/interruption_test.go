package forwarder

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"verbenareach/internal/wire/messenger"
)

// movingEngine is an engine whose run is ordered to move to e2 after its third event. It sends two more
// events once it is told to stop, and its response ends then.
type movingEngine struct {
	x **fixture
	// framed is set if the response is in chunks, finished if their end is sent.
	framed, finished bool
	// answer answers the order to stop, which gets no answer if it is nil. It is called before the
	// response ends, or else after.
	answer      func(c net.Conn, seen seenRequest) bool
	answerFirst bool

	stopped, answered, ended chan struct{}
}

// newMovingEngine returns an engine and what the test may set of it before the first request.
func newMovingEngine(t *testing.T, x **fixture) (*standIn, *movingEngine) {
	t.Helper()
	e := &movingEngine{x: x, stopped: make(chan struct{}), answered: make(chan struct{}), ended: make(chan struct{})}
	return newStandIn(t, "e1", e.serve), e
}

func (e *movingEngine) serve(c net.Conn, seen seenRequest) bool {
	switch {
	case seen.Method == http.MethodDelete:
		return answer(c, seen, http.StatusOK, "", "")
	case seen.Header.Get("T-Continue") != "":
		return streams(6, 8)(c, seen)
	case seen.URL.Path != "/copy":
		e.run(c, seen)
		return false
	case seen.URL.Query().Get("stop") != "true":
		return answer(c, seen, http.StatusOK, "", `{"ID":"partial"}`)
	}
	close(e.stopped)
	if !e.answerFirst {
		<-e.ended
		// The end of the response arrives on another connection than the answer.
		time.Sleep(100 * time.Millisecond)
	}
	defer close(e.answered)
	if e.answer == nil {
		time.Sleep(3 * time.Second)
		return false
	}
	return e.answer(c, seen)
}

func (e *movingEngine) run(c net.Conn, seen seenRequest) {
	send := func(text string) { _, _ = io.WriteString(c, text) }
	if e.framed {
		begin(c, seen)
		send = func(text string) { chunk(c, text) }
	} else {
		beginUntilClose(c, seen)
	}
	send(events(1, 3))
	(*e.x).awaitEvents("id-1", 3)
	_ = (*e.x).forwarder.Move(&messenger.MoveOrder{Run: "id-1", From: "e1", To: "e2"})
	<-e.stopped
	if e.answerFirst {
		<-e.answered
		time.Sleep(30 * time.Millisecond)
	}
	send(events(4, 5))
	if e.finished {
		end(c)
	}
	_ = c.Close()
	close(e.ended)
}

// respond returns a script that answers with a status and a body.
func respond(status int, body string) func(net.Conn, seenRequest) bool {
	return func(c net.Conn, seen seenRequest) bool { return answer(c, seen, status, "", body) }
}

// beginMoving sends the first events of a response without length or chunks, and orders the run to move to e2
// once the client has them.
func (x *fixture) beginMoving(c net.Conn, seen seenRequest) {
	beginUntilClose(c, seen)
	_, _ = io.WriteString(c, events(1, 3))
	x.awaitEvents("id-1", 3)
	_ = x.forwarder.Move(&messenger.MoveOrder{Run: "id-1", From: "e1", To: "e2"})
}

func TestStreamOfAStoppedRunEndsAsComplete(t *testing.T) {
	tests := []struct {
		name   string
		answer func(net.Conn, seenRequest) bool
		// events is the number of events that the client gets, whole whether they look complete.
		events int
		whole  bool
	}{
		{"answered with a handle", respond(http.StatusOK, `{"ID":"handle"}`), 8, true},
		{"refused with a handle", respond(http.StatusServiceUnavailable, `{"ID":"handle"}`), 8, true},
		{"refused without a handle", respond(http.StatusServiceUnavailable, "no room"), 5, false},
		{"failed", respond(http.StatusInternalServerError, "failed"), 5, false},
		{"reset", func(c net.Conn, _ seenRequest) bool { return reset(c) }, 5, false},
		{"not answered", nil, 5, false},
	}
	for _, tt := range tests {
		orders := []bool{false, true}
		if tt.answer == nil {
			orders = orders[:1]
		}
		for _, framed := range []bool{false, true} {
			for _, answerFirst := range orders {
				t.Run(fmt.Sprintf("%s, framed %t, answer first %t", tt.name, framed, answerFirst), func(t *testing.T) {
					var x *fixture
					e1, e := newMovingEngine(t, &x)
					e.framed, e.answer, e.answerFirst = framed, tt.answer, answerFirst
					x = newFixture(t, e1, newStandIn(t, "e2", streams(6, 8)))
					x.place = "e1"
					got := x.send("/stream/a", key, "prompt")
					if got.body != events(1, tt.events) || (got.err == nil) != tt.whole {
						t.Errorf("client got %q, %v, want %d events, whole %t", got.body, got.err, tt.events, tt.whole)
					}
				})
			}
		}
	}
}

func TestWholeStreamIsBrokenOffAsItsMoveWasRefused(t *testing.T) {
	notRun := func(c net.Conn, seen seenRequest) bool {
		return answer(c, seen, http.StatusServiceUnavailable, "T-Not-Run: 1\r\n", "")
	}
	tests := []struct {
		name   string
		answer func(net.Conn, seenRequest) bool
	}{
		{"no such run", respond(http.StatusNotFound, "")},
		{"another call is in progress", respond(http.StatusConflict, "")},
		{"not carried out", notRun},
	}
	for _, tt := range tests {
		for _, framed := range []bool{false, true} {
			for _, answerFirst := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s, framed %t, answer first %t", tt.name, framed, answerFirst), func(t *testing.T) {
					var x *fixture
					e1, e := newMovingEngine(t, &x)
					e.framed, e.finished, e.answer, e.answerFirst = framed, framed, tt.answer, answerFirst
					x = newFixture(t, e1, newStandIn(t, "e2", streams(6, 8)))
					x.place = "e1"
					if got := x.send("/stream/a", key, "prompt"); got.err != nil || got.body != events(1, 5) {
						t.Errorf("client got %q, %v", got.body, got.err)
					}
				})
			}
		}
	}
}

// The engine that a run goes on at may have told the former one, which then ends its response.
func TestStreamOfARunThatWentOnAtItsBackupEndsAsComplete(t *testing.T) {
	for _, framed := range []bool{false, true} {
		t.Run(fmt.Sprintf("framed %t", framed), func(t *testing.T) {
			var x *fixture
			resumed := make(chan struct{})
			e1 := newStandIn(t, "e1", func(c net.Conn, seen seenRequest) bool {
				if framed {
					begin(c, seen)
					chunk(c, events(1, 3))
				} else {
					beginUntilClose(c, seen)
					_, _ = io.WriteString(c, events(1, 3))
				}
				x.awaitEvents("id-1", 3)
				_ = x.forwarder.Move(&messenger.MoveOrder{Run: "id-1", From: "e1", To: "e2", Copied: true})
				<-resumed
				return false
			})
			e2 := newStandIn(t, "e2", func(net.Conn, seenRequest) bool {
				close(resumed)
				time.Sleep(2 * overlapTimeout)
				return false
			})
			x = newFixture(t, e1, e2)
			x.place, x.copy = "e1", "e2"
			if got := x.send("/stream/a", key, "prompt"); got.err == nil || got.body != events(1, 3) {
				t.Errorf("client got %q, %v, want the events as a part", got.body, got.err)
			}
		})
	}
}
