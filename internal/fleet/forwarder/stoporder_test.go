package forwarder

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"verbenareach/internal/wire/messenger"
)

// A status 500 says that the engine may have run the request (mayHaveRun knows only errDeclined).
func TestStreamEndsAsCompleteAfterItsBackupAnsweredWithAFailure(t *testing.T) {
	for _, status := range []int{500, 504} {
		t.Run(fmt.Sprint(status), func(t *testing.T) {
			var x *fixture
			resumed := make(chan struct{})
			e1 := newStandIn(t, "e1", func(c net.Conn, seen seenRequest) bool {
				beginUntilClose(c, seen)
				_, _ = io.WriteString(c, events(1, 3))
				x.awaitEvents("id-1", 3)
				_ = x.forwarder.Move(&messenger.MoveOrder{Run: "id-1", From: "e1", To: "e2", Copied: true})
				<-resumed
				time.Sleep(50 * time.Millisecond)
				return false
			})
			e2 := newStandIn(t, "e2", func(c net.Conn, seen seenRequest) bool {
				defer close(resumed)
				return answer(c, seen, status, "", "failed")
			})
			x = newFixture(t, e1, e2)
			x.place, x.copy = "e1", "e2"
			if got := x.send("/stream/a", key, "prompt"); got.err == nil {
				t.Errorf("client got %q as complete", got.body)
			}
		})
	}
}

// The engine says that it stopped the run; its framing ends all the same.
func TestStoppedRunWhoseChunksEndIsTakenForWhole(t *testing.T) {
	for _, answerFirst := range []bool{false, true} {
		t.Run(fmt.Sprintf("answer first %t", answerFirst), func(t *testing.T) {
			var x *fixture
			e1, e := newMovingEngine(t, &x)
			e.framed, e.finished, e.answer, e.answerFirst = true, true, respond(http.StatusOK, `{"ID":"handle"}`), answerFirst
			x = newFixture(t, e1, newStandIn(t, "e2", streams(6, 8)))
			x.place = "e1"
			if got := x.send("/stream/a", key, "prompt"); got.err != nil || got.body != events(1, 8) {
				t.Errorf("client got %q, %v", got.body, got.err)
			}
		})
	}
}

// The copy of a generation that its client sent again goes on, and stops the new one at the same engine.
// continues is an engine that answers the order to stop with a failure and does not stop.
func continues(x **fixture, stopAnswer func(net.Conn, seenRequest) bool, after time.Duration) func(net.Conn, seenRequest) bool {
	return func(c net.Conn, seen seenRequest) bool {
		if seen.URL.Path == "/copy" {
			if seen.URL.Query().Get("stop") == "true" {
				return stopAnswer(c, seen)
			}
			return answer(c, seen, http.StatusOK, "", `{"ID":"partial"}`)
		}
		(*x).beginMoving(c, seen)
		for n := 4; n <= 8; n++ {
			time.Sleep(after / 5)
			_, _ = io.WriteString(c, event(n))
		}
		return false
	}
}

// Events long after the answer show that the run goes on; its end is its own.
func TestWholeStreamIsBrokenOffLongAfterARefusedOrder(t *testing.T) {
	var x *fixture
	e1 := newStandIn(t, "e1", continues(&x, respond(http.StatusInternalServerError, "failed"), 1500*time.Millisecond))
	x = newFixture(t, e1, newStandIn(t, "e2", streams(6, 8)))
	x.place = "e1"
	if got := x.send("/stream/a", key, "prompt"); got.err != nil || got.body != events(1, 8) {
		t.Errorf("client got %q, %v", got.body, got.err)
	}
}

// A backup exists; the answer to the order never comes.
// The engine was told to stop; it did not break off by itself.
func TestEngineThatWasToldToStopIsReportedAsLost(t *testing.T) {
	for _, framed := range []bool{false, true} {
		t.Run(fmt.Sprintf("framed %t", framed), func(t *testing.T) {
			var x *fixture
			e1, e := newMovingEngine(t, &x)
			e.framed, e.answer = framed, respond(http.StatusInternalServerError, "failed")
			x = newFixture(t, e1, newStandIn(t, "e2", streams(6, 8)))
			x.place = "e1"
			_ = x.send("/stream/a", key, "prompt")
			x.mu.Lock()
			defer x.mu.Unlock()
			for _, s := range x.states {
				if s.Phase == messenger.RunState_PHASE_LOST || s.Cause != "" {
					t.Errorf("reported %v", s)
				}
			}
		})
	}
}

// The source keeps the memory of a run that it stopped; the copy did not arrive.
func TestCopyOfAStoppedRunWhoseClientLeftIsKept(t *testing.T) {
	var x *fixture
	stopping, left := make(chan struct{}), make(chan struct{})
	e1 := newStandIn(t, "e1", func(c net.Conn, seen seenRequest) bool {
		switch {
		case seen.Method == http.MethodDelete:
			return answer(c, seen, http.StatusOK, "", "")
		case seen.URL.Path != "/copy":
			x.beginMoving(c, seen)
			_, _ = io.Copy(io.Discard, c)
			return false
		case seen.URL.Query().Get("stop") == "true":
			close(stopping)
			<-left
			time.Sleep(50 * time.Millisecond)
			return answer(c, seen, http.StatusOK, "", `{"ID":"handle"}`)
		default:
			return answer(c, seen, http.StatusOK, "", `{"ID":"partial"}`)
		}
	})
	e2 := newStandIn(t, "e2", respond(http.StatusOK, ""))
	x = newFixture(t, e1, e2)
	x.place = "e1"
	c, err := net.Dial("tcp", x.address)
	if err != nil {
		t.Fatal(err)
	}
	fmt.Fprintf(c, "POST /stream/a HTTP/1.1\r\nHost: h\r\nT-Id: id-1\r\n%sContent-Length: 6\r\n\r\nprompt", key)
	<-stopping
	_ = c.Close()
	close(left)
	time.Sleep(500 * time.Millisecond)
	n := 0
	for _, s := range []*standIn{e1, e2} {
		for _, r := range s.requests() {
			if r.Method == http.MethodDelete {
				n++
			}
		}
	}
	if n == 0 {
		t.Error("no engine was told to release the copy")
	}
}

// An order without an answer is forgotten when a later one is answered with a handle and the run goes on at its source.
func TestFormerOrderIsForgottenOnceALaterOneIsAnswered(t *testing.T) {
	var x *fixture
	var stops, runs atomic.Int32
	answered := make(chan struct{}, 2)
	e1 := newStandIn(t, "e1", func(c net.Conn, seen seenRequest) bool {
		switch {
		case seen.URL.Path == "/copy" && seen.URL.Query().Get("stop") != "true":
			return answer(c, seen, http.StatusOK, "", `{"ID":"partial"}`)
		case seen.URL.Path == "/copy":
			defer func() { answered <- struct{}{} }()
			if stops.Add(1) == 1 {
				return reset(c)
			}
			return answer(c, seen, http.StatusServiceUnavailable, "", `{"ID":"handle"}`)
		case runs.Add(1) == 1:
			x.beginMoving(c, seen)
			<-answered
			time.Sleep(50 * time.Millisecond)
			_ = x.forwarder.Move(&messenger.MoveOrder{Run: "id-1", From: "e1", To: "e2"})
			<-answered
			return false
		default:
			// The first order, which took long, stops the run.
			beginUntilClose(c, seen)
			_, _ = io.WriteString(c, events(4, 5))
			time.Sleep(50 * time.Millisecond)
			return false
		}
	})
	x = newFixture(t, e1, newStandIn(t, "e2", respond(200, "")))
	x.place = "e1"
	if got := x.send("/stream/a", key, "prompt"); got.err == nil {
		t.Errorf("client got %q as complete, %d orders", got.body, stops.Load())
	}
}

// The engine gets the run once more and completes it long after the order.
func TestWholeStreamOfAnEngineThatGotTheRunOnceMoreIsBrokenOff(t *testing.T) {
	var x *fixture
	var runs atomic.Int32
	stopped := make(chan struct{})
	e1 := newStandIn(t, "e1", func(c net.Conn, seen seenRequest) bool {
		switch {
		case seen.URL.Path == "/copy" && seen.URL.Query().Get("stop") != "true":
			return answer(c, seen, http.StatusOK, "", `{"ID":"partial"}`)
		case seen.URL.Path == "/copy":
			defer close(stopped)
			return answer(c, seen, http.StatusInternalServerError, "", "failed")
		case runs.Add(1) == 1:
			x.beginMoving(c, seen)
			<-stopped
			time.Sleep(20 * time.Millisecond)
			return false
		default:
			beginUntilClose(c, seen)
			_, _ = io.WriteString(c, events(4, 8))
			time.Sleep(300 * time.Millisecond)
			return false
		}
	})
	x = newFixture(t, e1, newStandIn(t, "e2", respond(200, "")))
	x.place = "e1"
	if got := x.send("/resume/a", key, "prompt"); got.err != nil || got.body != events(1, 8) {
		t.Errorf("client got %q, %v, %d runs", got.body, got.err, runs.Load())
	}
}

// The order without an answer at e1 is forgotten once the run was at e3; it stops the run when that comes back.
func TestFormerOrderIsForgottenOnceTheRunWasElsewhere(t *testing.T) {
	var x *fixture
	var runs atomic.Int32
	stopped := make(chan struct{})
	e1 := newStandIn(t, "e1", func(c net.Conn, seen seenRequest) bool {
		switch {
		case seen.URL.Path == "/copy" && seen.URL.Query().Get("stop") != "true":
			return answer(c, seen, http.StatusOK, "", `{"ID":"partial"}`)
		case seen.URL.Path == "/copy":
			defer close(stopped)
			return reset(c)
		case runs.Add(1) == 1:
			x.beginMoving(c, seen)
			<-stopped
			time.Sleep(50 * time.Millisecond)
			_ = x.forwarder.Move(&messenger.MoveOrder{Run: "id-1", From: "e1", To: "e3", Copied: true})
			_, _ = io.Copy(io.Discard, c)
			return false
		default:
			beginUntilClose(c, seen)
			_, _ = io.WriteString(c, event(5))
			time.Sleep(50 * time.Millisecond)
			return false
		}
	})
	e3 := newStandIn(t, "e3", func(c net.Conn, seen seenRequest) bool {
		begin(c, seen)
		chunk(c, event(4))
		x.awaitEvents("id-1", 4)
		_ = x.forwarder.Move(&messenger.MoveOrder{Run: "id-1", From: "e3", To: "e1", Copied: true})
		_, _ = io.Copy(io.Discard, c)
		return false
	})
	x = newFixture(t, e1, newStandIn(t, "e2", respond(200, "")), e3)
	x.place, x.copy = "e1", "e3"
	if got := x.send("/stream/a", key, "prompt"); got.err == nil {
		t.Errorf("client got %q as complete, %d runs", got.body, runs.Load())
	}
}

// An engine stops work at the deadline that it was given, and its connection ends then.
// The order is answered with a success that names no handle: the move has failed.
func TestPartialCopyStaysAfterASuccessWithoutAHandle(t *testing.T) {
	var x *fixture
	e1 := newStandIn(t, "e1", continues(&x, respond(http.StatusOK, `{}`), 300*time.Millisecond))
	e2 := newStandIn(t, "e2", respond(http.StatusOK, ""))
	x = newFixture(t, e1, e2)
	x.place = "e1"
	_ = x.send("/stream/a", key, "prompt")
	if len(e2.requests()) == 0 {
		t.Error("the destination was not told to release the partial copy")
	}
}
