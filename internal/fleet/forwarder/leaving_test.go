package forwarder

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"verbenareach/internal/wire/messenger"
)

// saying returns a script that answers with a status and further header lines.
func saying(status int, fields string) func(net.Conn, seenRequest) bool {
	return func(c net.Conn, seen seenRequest) bool { return answer(c, seen, status, signed+fields, "whole") }
}

func TestServerThatSaysItLeavesGetsFurtherRequests(t *testing.T) {
	const leaves = "T-Leaves: 1\r\n"
	tests := []struct {
		name    string
		script  func(net.Conn, seenRequest) bool
		further bool
	}{
		{"on an answer", saying(http.StatusOK, leaves), false},
		{"on a failure", saying(http.StatusInternalServerError, leaves), false},
		{"as it declines", saying(http.StatusServiceUnavailable, "T-Not-Run: 1\r\n"+leaves), false},
		{"twice in one answer", saying(http.StatusOK, leaves+leaves), false},
		{"beside another value", saying(http.StatusOK, "T-Leaves: 0\r\n"+leaves), false},
		{"with spaces", saying(http.StatusOK, "T-Leaves:   1 \r\n"), false},
		{"no value", saying(http.StatusOK, "T-Leaves: \r\n"), true},
		{"another value", saying(http.StatusOK, "T-Leaves: true\r\n"), true},
		{"a number of other digits", saying(http.StatusOK, "T-Leaves: 1.0\r\n"), true},
		{"another process at its address", saying(http.StatusMisdirectedRequest, leaves), true},
		{"on the answer to an earlier request", func(c net.Conn, seen seenRequest) bool {
			_, _ = fmt.Fprint(c, "HTTP/1.1 200 OK\r\nT-Id: older\r\n"+leaves+"Content-Length: 0\r\n\r\n")
			return answerOK(c, seen)
		}, true},
	}
	for _, path := range []string{"/once/a", "/plain-stream/a"} {
		for _, tt := range tests {
			t.Run(path+" "+tt.name, func(t *testing.T) {
				s := newStandIn(t, "s1", tt.script)
				x := newFixture(t, s)
				x.send(path, key, "first")
				x.tracker.Heartbeat(time.Now(), &messenger.Backend{Id: "s1", Service: "plain", Address: s.address, Sequence: 7})
				got := x.send("/once/b", key, "second")
				if further := len(s.requests()) > 1; further != tt.further {
					t.Errorf("further requests reach it: %v, want %v", further, tt.further)
				}
				if !tt.further && (got.status != http.StatusServiceUnavailable || got.header.Get("Retry-After") == "") {
					t.Errorf("answered with %d, Retry-After %q", got.status, got.header.Get("Retry-After"))
				}
			})
		}
	}
}

func TestNewProcessInPlaceOfOneThatLeavesGetsRequests(t *testing.T) {
	s := newStandIn(t, "s1", func(c net.Conn, seen seenRequest) bool {
		if seen.n == 1 {
			return answer(c, seen, http.StatusOK, signed+"T-Leaves: 1\r\n", "")
		}
		return answerOK(c, seen)
	})
	x := newFixture(t, s)
	x.send("/once/a", key, "first")
	x.tracker.Heartbeat(time.Now(), &messenger.Backend{Id: "s1", Service: "plain", Address: s.address, Started: 5, Sequence: 1})
	if got := x.send("/once/a", key, "second"); got.status != http.StatusOK {
		t.Errorf("answered with %d", got.status)
	}
}

func TestGenerationIsSentToAnEngineThatSaidItLeaves(t *testing.T) {
	e1 := newStandIn(t, "e1", saying(http.StatusOK, "T-Leaves: 1\r\n"))
	e2 := newStandIn(t, "e2", streams(1, 3))
	x := newFixture(t, e1, e2)
	x.tracker.MarkLeaving(time.Now(), x.tracker.Find("e1"))
	x.placeInOrder("e1", "e2")
	if got := x.send("/stream/a", key, ""); got.status != http.StatusOK || len(e1.requests()) > 0 {
		t.Errorf("answered with %d, %d requests reached the engine that leaves", got.status, len(e1.requests()))
	}
}

// reportState has a stand-in report a state at a time.
func (x *fixture) reportState(at time.Time, s *standIn, state messenger.Backend_State) {
	known := x.tracker.Find(s.id)
	x.tracker.Heartbeat(at, &messenger.Backend{
		Id: s.id, Service: known.Service, Address: s.address, Sequence: known.Sequence + 1, State: state,
	})
}

func TestCallThatWaitedIsSentToAServerThatReportedMeanwhileThatItLeaves(t *testing.T) {
	for _, state := range []messenger.Backend_State{messenger.Backend_STATE_DRAINING, messenger.Backend_STATE_GONE} {
		t.Run(state.String(), func(t *testing.T) {
			s := newStandIn(t, "s", saying(http.StatusOK, "T-Limit: 10\r\n"))
			x := newFixture(t, s)
			x.send("/once/a", key, "")
			x.forwarder.Permit = func(context.Context, *messenger.Backend, time.Duration) (time.Duration, bool) {
				x.reportState(time.Now(), s, state)
				return 10 * time.Millisecond, true
			}
			got := x.send("/once/a", key, "")
			if got.status != http.StatusServiceUnavailable || len(s.requests()) > 1 {
				t.Errorf("answered with %d, %d requests reached it", got.status, len(s.requests())-1)
			}
		})
	}
}

func TestOlderDecisionIsSentToAnEngineThatReportedThatItLeaves(t *testing.T) {
	e1, e2 := newStandIn(t, "e1", streams(1, 3)), newStandIn(t, "e2", streams(1, 3))
	x := newFixture(t, e1, e2)
	x.reportState(time.Now(), e1, messenger.Backend_STATE_DRAINING)
	x.placeInOrder("e1", "e2")
	if got := x.send("/stream/a", key, ""); got.status != http.StatusOK || len(e1.requests()) > 0 {
		t.Errorf("answered with %d, %d requests reached the engine that leaves", got.status, len(e1.requests()))
	}
}

func TestRunResumesAtABackupLongAfterItReportedThatItLeaves(t *testing.T) {
	for _, tt := range []struct {
		age     time.Duration
		resumes bool
	}{{0, true}, {2 * resumableTime, false}} {
		t.Run(tt.age.String(), func(t *testing.T) {
			e1, e2, e3 := newStandIn(t, "e1", nil), newStandIn(t, "e2", streams(3, 5)), newStandIn(t, "e3", streams(3, 5))
			x := newFixture(t, e1, e2, e3)
			e1.script = func(c net.Conn, seen seenRequest) bool {
				x.reportState(time.Now().Add(-tt.age), e2, messenger.Backend_STATE_DRAINING)
				return truncates(2)(c, seen)
			}
			x.placeInOrder("e1", "e3")
			x.copy = "e2"
			if got := x.send("/resume/a", key, ""); got.body != events(1, 5) || (len(e2.requests()) > 0) != tt.resumes {
				t.Errorf("got %q, %d requests reached the engine that leaves", got.body, len(e2.requests()))
			}
		})
	}
}
