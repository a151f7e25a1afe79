package forwarder

import (
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	"verbenareach/internal/fleet/sender"
	"verbenareach/internal/wire/messenger"
)

// streamsUntilOrdered returns a script that sends events until it has given the move
// order, and the rest once stopped is closed.
func streamsUntilOrdered(x **fixture, order *messenger.MoveOrder, stopped <-chan struct{}) func(net.Conn, seenRequest) bool {
	return func(c net.Conn, seen seenRequest) bool {
		if seen.URL.Path == "/copy" {
			return false
		}
		begin(c, seen)
		chunk(c, events(1, 3))
		(*x).awaitEvents(order.Run, 3)
		_ = (*x).forwarder.Move(order)
		<-stopped
		chunk(c, events(4, 5))
		time.Sleep(20 * time.Millisecond)
		return false
	}
}

// awaitEvents waits until the client of a generation has a number of events, or the test has ended.
func (x *fixture) awaitEvents(run string, count int32) {
	for end := time.Now().Add(2 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if x.t.Context().Err() != nil {
			return
		}
		x.forwarder.mu.Lock()
		s := x.forwarder.streams[run]
		x.forwarder.mu.Unlock()
		if s != nil && s.eventsSentShared.Load() >= count {
			return
		}
	}
	x.t.Errorf("client of %s does not get %d events", run, count)
}

func TestMoveOrderStopsTheRunAndCopiesItsMemory(t *testing.T) {
	var x *fixture
	stopped := make(chan struct{})
	run := streamsUntilOrdered(&x, &messenger.MoveOrder{Run: "id-1", From: "e1", To: "e2"}, stopped)
	e1 := newStandIn(t, "e1", func(c net.Conn, seen seenRequest) bool {
		if seen.URL.Path != "/copy" {
			return run(c, seen)
		}
		if seen.URL.Query().Get("stop") == "true" {
			close(stopped)
		}
		return answer(c, seen, 200, "", `{"ID":"handle"}`)
	})
	e2 := newStandIn(t, "e2", streams(6, 8))
	x = newFixture(t, e1, e2)
	x.place = "e1"
	got := x.send("/stream/a", key, "prompt")
	if got.err != nil || got.body != events(1, 8) {
		t.Fatalf("client got %q, %v", got.body, got.err)
	}
	seen := e2.requests()[0]
	if seen.Header.Get("T-Continue") != e1.address+"/handle" || seen.Header.Get("T-Last") != "5" {
		t.Errorf("continues from %q after %q", seen.Header.Get("T-Continue"), seen.Header.Get("T-Last"))
	}
	var stops []string
	for _, r := range e1.requests()[1:] {
		stops = append(stops, r.URL.Query().Get("stop"))
	}
	if fmt.Sprint(stops) != "[false true]" {
		t.Errorf("copies were requested with stop %v", stops)
	}
}

// A destination that asked for a pause after the move was ordered gets no request of the run, and no
// connection ahead of one.
func TestPausedDestinationGetsAConnectionAhead(t *testing.T) {
	var x *fixture
	stopped := make(chan struct{})
	run := streamsUntilOrdered(&x, &messenger.MoveOrder{Run: "id-1", From: "e1", To: "e2"}, stopped)
	e1 := newStandIn(t, "e1", func(c net.Conn, seen seenRequest) bool {
		switch {
		case seen.Header.Get("T-Continue") != "":
			return streams(6, 8)(c, seen)
		case seen.URL.Path != "/copy":
			return run(c, seen)
		case seen.URL.Query().Get("stop") == "true":
			// A connection that is opened ahead is there by now.
			time.Sleep(20 * time.Millisecond)
			close(stopped)
		default:
			x.forwarder.Tracker.Pause(x.forwarder.Tracker.Find("e2"), time.Now().Add(time.Minute))
		}
		return answer(c, seen, 200, "", `{"ID":"handle"}`)
	})
	e2 := newStandIn(t, "e2", streams(6, 8))
	x = newFixture(t, e1, e2)
	x.place = "e1"
	if got := x.send("/stream/a", key, "prompt"); got.err != nil || got.body != events(1, 8) {
		t.Errorf("client got %q, %v", got.body, got.err)
	}
	e2.mu.Lock()
	defer e2.mu.Unlock()
	if e2.conns != 0 {
		t.Errorf("%d connections to the paused engine", e2.conns)
	}
}

func TestFailedMoveLeavesTheRunWhereItIs(t *testing.T) {
	var x *fixture
	failed := make(chan struct{})
	e1 := newStandIn(t, "e1", func(c net.Conn, seen seenRequest) bool {
		if seen.URL.Path == "/copy" {
			defer close(failed)
			return answer(c, seen, 503, "", "no room")
		}
		begin(c, seen)
		chunk(c, events(1, 3))
		time.Sleep(50 * time.Millisecond)
		_ = x.forwarder.Move(&messenger.MoveOrder{Run: "id-1", From: "e1", To: "e2"})
		<-failed
		time.Sleep(20 * time.Millisecond)
		chunk(c, events(4, 6))
		return end(c)
	})
	x = newFixture(t, e1, newStandIn(t, "e2", streams(4, 6)))
	x.place = "e1"
	if got := x.send("/stream/a", key, "prompt"); got.err != nil || got.body != events(1, 6) {
		t.Fatalf("client got %q, %v", got.body, got.err)
	}
	reported := false
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, s := range x.states {
		reported = reported || s.Phase == messenger.RunState_PHASE_MOVE_FAILED && s.Backend == "e1"
	}
	if !reported {
		t.Error("failure of the move was not reported")
	}
}

func TestMoveOrderToTheBackupNeedsNoCopyCall(t *testing.T) {
	var x *fixture
	forever := make(chan struct{})
	t.Cleanup(func() { close(forever) })
	e1 := newStandIn(t, "e1", streamsUntilOrdered(&x, &messenger.MoveOrder{Run: "id-1", From: "e1", To: "e2", Copied: true}, forever))
	e2 := newStandIn(t, "e2", streams(4, 5))
	x = newFixture(t, e1, e2)
	x.place, x.copy = "e1", "e2"
	if got := x.send("/stream/a", key, "prompt"); got.err != nil || got.body != events(1, 5) {
		t.Errorf("client got %q, %v", got.body, got.err)
	}
	if n := len(e1.requests()); n != 1 {
		t.Errorf("%d requests at the first engine, want 1", n)
	}
}

func TestCopyOfAFailedMoveIsReleased(t *testing.T) {
	var x *fixture
	failed, released := make(chan struct{}), make(chan string, 1)
	run := streamsUntilOrdered(&x, &messenger.MoveOrder{Run: "id-1", From: "e1", To: "e2"}, failed)
	e1 := newStandIn(t, "e1", func(c net.Conn, seen seenRequest) bool {
		switch {
		case seen.URL.Path != "/copy":
			return run(c, seen)
		case seen.URL.Query().Get("stop") == "true":
			close(failed)
			return reset(c)
		default:
			return answer(c, seen, 200, "", `{"ID":"handle"}`)
		}
	})
	e2 := newStandIn(t, "e2", func(c net.Conn, seen seenRequest) bool {
		released <- seen.Method + " " + seen.URL.Path
		return answer(c, seen, 200, "", "")
	})
	x = newFixture(t, e1, e2)
	x.place = "e1"
	x.send("/stream/a", key, "prompt")
	select {
	case got := <-released:
		if got != "DELETE /release/handle" {
			t.Errorf("destination got %q", got)
		}
	case <-time.After(2 * time.Second):
		t.Error("destination keeps the copy")
	}
}

func TestCopyOfAnEndedRunIsReleased(t *testing.T) {
	var x *fixture
	copying, ended, released := make(chan struct{}), make(chan struct{}), make(chan string, 1)
	e1 := newStandIn(t, "e1", func(c net.Conn, seen seenRequest) bool {
		switch {
		case seen.URL.Path != "/copy":
			begin(c, seen)
			chunk(c, event(1))
			time.Sleep(50 * time.Millisecond)
			_ = x.forwarder.Move(&messenger.MoveOrder{Run: "id-1", From: "e1", To: "e2"})
			<-copying
			chunk(c, event(2))
			return end(c)
		default:
			close(copying)
			<-ended
			return answer(c, seen, 200, "", `{"ID":"handle"}`)
		}
	})
	e2 := newStandIn(t, "e2", func(c net.Conn, seen seenRequest) bool {
		released <- seen.URL.Path
		return answer(c, seen, 200, "", "")
	})
	x = newFixture(t, e1, e2)
	x.forwarder.Dialect.Copy = func(ctx context.Context, pool *sender.Pool, address, run, to string, stop bool) (CopyHandle, error) {
		if stop {
			return "", errDeclined
		}
		return copyByCall(ctx, pool, address, run, to, stop)
	}
	x.place = "e1"
	if got := x.send("/stream/a", key, "prompt"); got.err != nil || got.body != events(1, 2) {
		t.Fatalf("client got %q, %v", got.body, got.err)
	}
	close(ended)
	select {
	case got := <-released:
		if got != "/release/handle" {
			t.Errorf("destination got %q", got)
		}
	case <-time.After(2 * time.Second):
		t.Error("destination keeps the copy of a run that has ended")
	}
}

// Another scheduler that asks must learn that the run streams: it moves no run that it takes for one
// without a first token.
func TestRunThatCouldNotBeMovedStillCountsAsStreaming(t *testing.T) {
	var x *fixture
	failed := make(chan struct{})
	phase := messenger.RunState_PHASE_PLACED
	e1 := newStandIn(t, "e1", func(c net.Conn, seen seenRequest) bool {
		if seen.URL.Path == "/copy" {
			defer close(failed)
			return answer(c, seen, 503, "", "no room")
		}
		begin(c, seen)
		chunk(c, events(1, 3))
		time.Sleep(50 * time.Millisecond)
		_ = x.forwarder.Move(&messenger.MoveOrder{Run: "id-1", From: "e1", To: "e2"})
		<-failed
		time.Sleep(50 * time.Millisecond)
		for _, state := range x.forwarder.Runs() {
			phase = state.Phase
		}
		chunk(c, events(4, 6))
		return end(c)
	})
	x = newFixture(t, e1, newStandIn(t, "e2", streams(4, 6)))
	x.place = "e1"
	if got := x.send("/stream/a", key, "prompt"); got.err != nil || got.body != events(1, 6) {
		t.Fatalf("client got %q, %v", got.body, got.err)
	}
	if phase != messenger.RunState_PHASE_STREAMING {
		t.Errorf("told as %v after the move failed", phase)
	}
}

// The scheduler learns from the cause how long engines run on after their notice; a client that left
// says nothing about that.
func TestEndOfTheEngineIsToldAsTheCause(t *testing.T) {
	var x *fixture
	e1 := newStandIn(t, "e1", func(c net.Conn, seen seenRequest) bool {
		begin(c, seen)
		chunk(c, events(1, 3))
		return reset(c)
	})
	x = newFixture(t, e1)
	x.place = "e1"
	_ = x.send("/stream/a", key, "prompt")
	x.mu.Lock()
	defer x.mu.Unlock()
	last := x.states[len(x.states)-1]
	if last.Phase != messenger.RunState_PHASE_ENDED || last.Whole || last.Cause == "" {
		t.Errorf("end is told as %v", last)
	}
}
