package forwarder

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"verbenareach/internal/fleet/cataloger"
)

func TestFailuresOfABackendServer(t *testing.T) {
	noAnswer := func(net.Conn, seenRequest) bool { return false }
	resets := func(c net.Conn, _ seenRequest) bool { return reset(c) }
	truncated := func(c net.Conn, seen seenRequest) bool {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nT-Id: %s\r\n%sContent-Length: 50\r\n\r\nonly a part", seen.Header.Get("T-Id"), signed)
		return false
	}
	noise := func(c net.Conn, _ seenRequest) bool {
		_, _ = io.WriteString(c, "\x00\x01 this is no answer\r\n\r\n")
		return false
	}
	unsigned := func(c net.Conn, seen seenRequest) bool { return answer(c, seen, 200, "", "whole") }
	encoded := func(c net.Conn, seen seenRequest) bool {
		return answer(c, seen, 200, signed+"Content-Encoding: gzip\r\n", "whole")
	}
	unframedReset := func(c net.Conn, seen seenRequest) bool {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nT-Id: %s\r\n%sConnection: close\r\n\r\nonly a part", seen.Header.Get("T-Id"), signed)
		time.Sleep(50 * time.Millisecond)
		return reset(c)
	}
	declines := func(c net.Conn, seen seenRequest) bool { return answer(c, seen, 503, "T-Not-Run: 1\r\n", "") }
	anotherHere := func(c net.Conn, seen seenRequest) bool { return answer(c, seen, 421, "", "") }
	busyMaybe := func(c net.Conn, seen seenRequest) bool { return answer(c, seen, 503, signed, "") }
	ownFailure := func(c net.Conn, seen seenRequest) bool { return answer(c, seen, 500, signed, "failed") }
	tests := []struct {
		name   string
		script func(net.Conn, seenRequest) bool
		// once and read are the statuses that clients of the route /once/, whose requests are
		// not idempotent, and of /read/ get, with a sound backend server beside the failing one.
		once, read int
	}{
		{"closes without an answer", noAnswer, 502, 200},
		{"resets", resets, 502, 200},
		{"truncates", truncated, 502, 200},
		{"sends noise", noise, 502, 200},
		{"does not sign", unsigned, 502, 200},
		{"encodes", encoded, 502, 200},
		{"resets an answer without a length", unframedReset, 502, 200},
		{"says that it did not run", declines, 200, 200},
		{"is another one", anotherHere, 200, 200},
		{"does not say whether it ran", busyMaybe, 502, 503},
		{"fails by itself", ownFailure, 500, 200},
	}
	for _, tt := range tests {
		for path, want := range map[string]int{"/once/a": tt.once, "/read/a": tt.read} {
			t.Run(tt.name+path, func(t *testing.T) {
				bad := newStandIn(t, "bad", tt.script)
				good := newStandIn(t, "good", answerOK)
				x := newFixture(t, bad)
				x.occupy("good")
				x.occupy("good")
				x.join(good)
				got := x.send(path, key, "body")
				if got.err != nil || got.status != want {
					t.Fatalf("client got %d, %v, want %d", got.status, got.err, want)
				}
				if n := len(bad.requests()); n != 1 {
					t.Errorf("failing backend server got %d requests, want 1", n)
				}
				ran := len(good.requests())
				if want == http.StatusOK && (ran != 1 || got.body != "whole") {
					t.Errorf("sound backend server got %d requests, client %q", ran, got.body)
				}
				if want != http.StatusOK && ran != 0 {
					t.Error("request ran a second time")
				}
				if want == 502 && got.header.Get("T-Signed") != "" {
					t.Error("failure is signed")
				}
			})
		}
	}
}

func TestFailureIsForwardedIfNoOtherBackendServerSucceeds(t *testing.T) {
	fails := func(c net.Conn, seen seenRequest) bool { return answer(c, seen, 500, signed, "failed") }
	tests := []struct {
		name   string
		second func(net.Conn, seenRequest) bool
	}{
		{"fails too", fails},
		{"closes without an answer", func(net.Conn, seenRequest) bool { return false }},
		{"declines", func(c net.Conn, seen seenRequest) bool { return answer(c, seen, 503, "T-Not-Run: 1\r\n", "") }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			first, second := newStandIn(t, "first", fails), newStandIn(t, "second", tt.second)
			x := newFixture(t, first)
			x.occupy("second")
			x.join(second)
			got := x.send("/read/a", key, "")
			if got.err != nil || got.status != http.StatusInternalServerError || got.body != "failed" {
				t.Errorf("client got %d %q, %v", got.status, got.body, got.err)
			}
			if got.header.Get("T-Signed") != "s" {
				t.Error("failure is not signed")
			}
			if n, m := len(first.requests()), len(second.requests()); n != 1 || m != 1 {
				t.Errorf("backend servers got %d and %d requests, want 1 each", n, m)
			}
		})
	}
}

func TestUnreachableBackendServerIsNoAttempt(t *testing.T) {
	gone := newStandIn(t, "gone", answerOK)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	gone.address = l.Addr().String()
	_ = l.Close()
	good := newStandIn(t, "good", answerOK)
	x := newFixture(t, gone)
	x.occupy("good")
	x.occupy("good")
	x.join(good)
	if got := x.send("/once/a", key, ""); got.status != http.StatusOK {
		t.Errorf("client got %d, want 200", got.status)
	}
}

// An attempt that declined and one that could not be sent have not run the request.
func TestRequestIsSentOnAfterADeclineAndAnUnsentAttempt(t *testing.T) {
	declines := newStandIn(t, "a", func(c net.Conn, seen seenRequest) bool {
		return answer(c, seen, http.StatusServiceUnavailable, "T-Not-Run: 1\r\n", "")
	})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	unreachable := &standIn{id: "b", address: l.Addr().String()}
	_ = l.Close()
	sound := newStandIn(t, "c", answerOK)
	x := newFixture(t, declines, unreachable, sound)
	x.occupy("b")
	x.occupy("c")
	x.occupy("c")
	if got := x.send("/once/", key, ""); got.status != http.StatusOK {
		t.Errorf("status %d %q though a third backend server is sound", got.status, got.body)
	}
}

func TestClientTimeout(t *testing.T) {
	tests := []struct {
		text string
		left time.Duration
		ok   bool
	}{
		{"1500", 1500 * time.Millisecond, true}, {"0.5", 500 * time.Microsecond, true}, {"-3", 0, true}, {"-Inf", 0, true},
		{"1e30", 0, false}, {"Inf", 0, false}, {"NaN", 0, false}, {"", 0, false}, {"soon", 0, false},
	}
	for _, tt := range tests {
		t.Run(tt.text, func(t *testing.T) {
			if left, ok := clientTimeout(tt.text); left != tt.left || ok != tt.ok {
				t.Errorf("got %s, %t; want %s, %t", left, ok, tt.left, tt.ok)
			}
		})
	}
}

func TestOnlyFieldsThatConnectionNamesAreDropped(t *testing.T) {
	b := newStandIn(t, "a", answerOK)
	x := newFixture(t, b)
	x.send("/read/", key+"Connection: Dropped, keep-alive\r\nDropped: 1\r\nDrop: 2\r\n", "")
	h := b.requests()[0].Header
	if h.Get("Drop") != "2" || h.Get("Dropped") != "" {
		t.Errorf("forwarded fields are %v", h)
	}
}

func TestNoBackendServerIsRefusedWithRetryAfter(t *testing.T) {
	x := newFixture(t)
	got := x.send("/once/a", key, "")
	if got.status != http.StatusServiceUnavailable || got.header.Get("Retry-After") == "" {
		t.Errorf("client got %d, Retry-After %q", got.status, got.header.Get("Retry-After"))
	}
}

func TestAnswerToAnotherRequestIsSkipped(t *testing.T) {
	s := newStandIn(t, "s", func(c net.Conn, seen seenRequest) bool {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nT-Id: older\r\n%sContent-Length: 5\r\n\r\nwrong", signed)
		return answerOK(c, seen)
	})
	x := newFixture(t, s)
	if got := x.send("/once/a", key, ""); got.status != http.StatusOK || got.body != "whole" {
		t.Errorf("client got %d %q", got.status, got.body)
	}
	x.send("/once/a", key, "")
	if s.conns != 2 {
		t.Errorf("%d connections, want 2: one that carried another answer is not used again", s.conns)
	}
}

func TestConnectionWithBytesLeftOverIsNotUsedAgain(t *testing.T) {
	s := newStandIn(t, "s", func(c net.Conn, seen seenRequest) bool {
		ok := answerOK(c, seen)
		if seen.n == 1 {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n")
		}
		return ok
	})
	x := newFixture(t, s)
	for range 2 {
		if got := x.send("/once/a", key, ""); got.status != http.StatusOK || got.body != "whole" {
			t.Fatalf("client got %d %q", got.status, got.body)
		}
		time.Sleep(20 * time.Millisecond)
	}
	if s.conns != 2 {
		t.Errorf("%d connections, want 2", s.conns)
	}
}

func TestRequestSentToABackendServer(t *testing.T) {
	s := newStandIn(t, "s", answerOK)
	x := newFixture(t, s)
	fields := key + "T-Reserved: x\r\nT-WORKSPACE: forged\r\nT-Continue: x\r\nT-Left: 900\r\nOther: kept\r\nConnection: Drop\r\nDrop: x\r\n"
	if got := x.send("/once/a?b=c", fields, "the body"); got.status != http.StatusOK {
		t.Fatalf("client got %d", got.status)
	}
	seen := s.requests()[0]
	if seen.Method != http.MethodPost || seen.RequestURI != "/once/a?b=c" || seen.body != "the body" || seen.Host != "h" {
		t.Errorf("saw %s %s %q for %s", seen.Method, seen.RequestURI, seen.body, seen.Host)
	}
	for name, want := range map[string]string{
		"T-Id": "id-1", "T-Workspace": "ws", "T-Only": "s", "Other": "kept",
		"Authorization": "", "T-Reserved": "", "T-Continue": "", "Drop": "",
	} {
		if got := seen.Header.Values(name); len(got) > 1 || seen.Header.Get(name) != want {
			t.Errorf("%s is %q, want %q", name, got, want)
		}
	}
	var left int
	if _, err := fmt.Sscan(seen.Header.Get("T-Left"), &left); err != nil || left <= 0 || left > 900 {
		t.Errorf("time left is %q", seen.Header.Get("T-Left"))
	}
}

func TestResponsesOfTheHostItself(t *testing.T) {
	tests := []struct {
		name      string
		path      string
		fields    string
		noCatalog bool
		status    int
	}{
		{"no configuration yet", "/once/a", key, true, 503},
		{"no route", "/other/", key, false, 404},
		{"no key", "/once/a", "", false, 401},
		{"an unknown key", "/once/a", "Authorization: Bearer x\r\n", false, 401},
		{"a public route", "/public/a", "", false, 200},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			x := newFixture(t, newStandIn(t, "s", answerOK))
			if tt.noCatalog {
				x.forwarder.Catalog = func() *cataloger.Catalog { return nil }
			}
			if got := x.send(tt.path, tt.fields, ""); got.status != tt.status {
				t.Errorf("client got %d, want %d", got.status, tt.status)
			}
		})
	}
}

func TestRequestIsAnsweredAtItsDeadline(t *testing.T) {
	left := make(chan struct{})
	s := newStandIn(t, "s", func(c net.Conn, _ seenRequest) bool {
		_, _ = c.Read(make([]byte, 1))
		close(left)
		return false
	})
	x := newFixture(t, s)
	begun := time.Now()
	got := x.send("/once/a", key+"T-Left: 200\r\n", "")
	if got.status != http.StatusGatewayTimeout {
		t.Errorf("client got %d, want 504", got.status)
	}
	if took := time.Since(begun); took < 150*time.Millisecond || took > 700*time.Millisecond {
		t.Errorf("answer came after %v", took)
	}
	select {
	case <-left:
	case <-time.After(time.Second):
		t.Error("backend server was not told to stop")
	}
}

func TestClientThatLeavesEndsItsRequest(t *testing.T) {
	arrived, left := make(chan struct{}), make(chan struct{})
	s := newStandIn(t, "s", func(c net.Conn, _ seenRequest) bool {
		close(arrived)
		_, _ = c.Read(make([]byte, 1))
		close(left)
		return false
	})
	x := newFixture(t, s)
	c, err := net.Dial("tcp", x.address)
	if err != nil {
		t.Fatal(err)
	}
	_, _ = io.WriteString(c, "POST /once/a HTTP/1.1\r\nHost: h\r\nT-Id: i\r\n"+key+"Content-Length: 0\r\n\r\n")
	<-arrived
	_ = c.Close()
	select {
	case <-left:
	case <-time.After(500 * time.Millisecond):
		t.Error("backend server still works half a second after its client left")
	}
}

func TestAnswerWithAnInvalidStatusIsForwarded(t *testing.T) {
	for _, status := range []string{"000", "001", "099", "+99", "600", "999"} {
		for path, want := range map[string]int{"/once/a": 502, "/read/a": 200, "/plain-stream/a": 502, "/plain-resume/a": 200} {
			t.Run(status+path, func(t *testing.T) {
				bad := newStandIn(t, "bad", func(c net.Conn, seen seenRequest) bool {
					_, err := fmt.Fprintf(c, "HTTP/1.1 %s X\r\nT-Id: %s\r\n%sContent-Length: 4\r\n\r\nbody", status, seen.Header.Get("T-Id"), signed)
					return err == nil
				})
				x := newFixture(t, bad)
				x.occupy("good")
				x.occupy("good")
				good := answerOK
				if path == "/plain-resume/a" {
					good = streams(1, 3)
				}
				x.join(newStandIn(t, "good", good))
				if got := x.send(path, key, "prompt"); got.err != nil || got.status != want {
					t.Errorf("client got %d, %v, want %d", got.status, got.err, want)
				}
			})
		}
	}
}
