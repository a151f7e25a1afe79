package forwarder

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"verbenareach/internal/fleet/quarantiner"
	"verbenareach/internal/fleet/receiver"
	"verbenareach/internal/wire/messenger"
)

// parts is the header line of a prompt with a shared part and one of its own.
const parts = "T-Parts: shared,own\r\n"

// newPartsFixture returns a fixture whose requests name their parts in the field T-Parts.
func newPartsFixture(t *testing.T, standIns ...*standIn) *fixture {
	t.Helper()
	x := newFixture(t, standIns...)
	x.forwarder.Dialect.ParseDemand = func(r *receiver.Request) *messenger.PlaceRequest {
		req := &messenger.PlaceRequest{PromptTokens: 10}
		for id := range strings.SplitSeq(r.Get("T-Parts"), ",") {
			req.Parts = append(req.Parts, &messenger.PromptPart{Id: id, Tokens: 5})
		}
		return req
	}
	x.forwarder.Quarantine.OnQuarantine = x.forwarder.EndQuarantined
	x.place = "e1"
	return x
}

// quarantine has engines end with a part until that is quarantined.
func (x *fixture) quarantine(part string) {
	now := time.Now()
	for n := range 8 {
		x.forwarder.Quarantine.RecordCrash(now, now.Add(-time.Duration(n)*time.Second), &messenger.Backend{Id: fmt.Sprint(n)},
			quarantiner.Beginning{Run: fmt.Sprint(n), Parts: []string{part}, Begun: true})
	}
}

// awaitRequest waits until a stand-in has a request.
func awaitRequest(t *testing.T, s *standIn) {
	t.Helper()
	for end := time.Now().Add(2 * time.Second); len(s.requests()) == 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("no request arrived")
		}
	}
}

func TestRequestWithAQuarantinedPartIsInvitedToComeBackAtOnce(t *testing.T) {
	e := newStandIn(t, "e1", streams(1, 3))
	x := newPartsFixture(t, e)
	x.quarantine("shared")
	got := x.send("/stream/a", key+parts, "")
	if got.status != http.StatusServiceUnavailable || len(got.header.Get("Retry-After")) < len("100.000") {
		t.Errorf("answered with %d, Retry-After %q", got.status, got.header.Get("Retry-After"))
	}
	if n := len(e.requests()); n != 0 {
		t.Errorf("%d requests reached an engine", n)
	}
	if got := x.send("/stream/a", key+"T-Parts: other,shared\r\n", ""); got.status != http.StatusOK {
		t.Errorf("a request whose own part has the same id is answered with %d", got.status)
	}
}

func TestRequestInPrefillWithAPartThatBecomesQuarantinedEndsItsEngine(t *testing.T) {
	left := make(chan struct{})
	e := newStandIn(t, "e1", func(c net.Conn, _ seenRequest) bool {
		_, _ = c.Read(make([]byte, 1))
		close(left)
		return false
	})
	x := newPartsFixture(t, e)
	done := make(chan reply)
	go func() { done <- x.send("/stream/a", key+parts, "") }()
	awaitRequest(t, e)
	x.quarantine("shared")
	if got := <-done; got.status != http.StatusBadGateway {
		t.Errorf("a request that may have run is answered with %d", got.status)
	}
	<-left
}

func TestBrokenStreamOfAnEngineThatRunsOnCountsAgainstItsParts(t *testing.T) {
	var engines []*standIn
	for n := range 6 {
		engines = append(engines, newStandIn(t, fmt.Sprintf("e%d", n), func(c net.Conn, seen seenRequest) bool {
			begin(c, seen)
			return reset(c)
		}))
	}
	x := newPartsFixture(t, append(engines, newStandIn(t, "e-healthy", streams(1, 3)))...)
	for _, e := range engines {
		x.place = e.id
		x.send("/stream/a", key+parts, "")
		time.Sleep(210 * time.Millisecond)
	}
	x.place = "e-healthy"
	if got := x.send("/stream/a", key+parts, ""); got.status != http.StatusOK {
		t.Errorf("answered with %d after streams that engines broke off", got.status)
	}
}

func TestGenerationWithAQuarantinedPartIsResumedElsewhere(t *testing.T) {
	crashed := make(chan struct{})
	backup := newStandIn(t, "e2", streams(3, 5))
	x := newPartsFixture(t, newStandIn(t, "e1", func(c net.Conn, seen seenRequest) bool {
		begin(c, seen)
		chunk(c, events(1, 2))
		<-crashed
		return false
	}), backup)
	x.copy = "e2"
	done := make(chan reply)
	go func() { done <- x.send("/stream/a", key+parts, "") }()
	for end := time.Now().Add(2 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if runs := x.forwarder.Runs(); len(runs) == 1 && runs[0].MadeTokens > 0 {
			break
		}
	}
	x.quarantine("shared")
	close(crashed)
	if got := <-done; got.err == nil {
		t.Errorf("a stream that broke off looks complete: %q", got.body)
	}
	if n := len(backup.requests()); n != 0 {
		t.Errorf("%d requests reached another engine", n)
	}
}

// beginUntilClose sends the header of a stream that ends with its connection.
func beginUntilClose(c net.Conn, seen seenRequest) {
	_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nT-Id: %s\r\n%sContent-Type: text/event-stream\r\n\r\n", seen.Header.Get("T-Id"), signed)
}

func TestStreamThatEndsWithItsConnection(t *testing.T) {
	tests := []struct {
		name string
		body string
		// status is that of the response, whole whether it looks complete.
		status int
		whole  bool
	}{
		{"after whole events it is complete", events(1, 3), http.StatusOK, true},
		{"within an event it was broken off", events(1, 3) + event(4)[:7], http.StatusOK, false},
		{"within the first event it was broken off", event(1)[:7], http.StatusBadGateway, true},
		{"before the first event it was broken off", "", http.StatusBadGateway, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			x := newPartsFixture(t, newStandIn(t, "e1", func(c net.Conn, seen seenRequest) bool {
				beginUntilClose(c, seen)
				_, _ = fmt.Fprint(c, tt.body)
				return false
			}))
			got := x.send("/stream/a", key+parts, "")
			if got.status != tt.status || (got.err == nil) != tt.whole {
				t.Errorf("answered with %d %q, %v", got.status, got.body, got.err)
			}
		})
	}
}

// ending returns a stand-in that ends while it runs a request.
func ending(t *testing.T, id string) *standIn {
	t.Helper()
	var s *standIn
	s = newStandIn(t, id, func(net.Conn, seenRequest) bool {
		_ = s.listener.Close()
		return false
	})
	return s
}

func TestEqualCallsAfterTwoServersEnded(t *testing.T) {
	tests := []struct {
		name, path, body string
		status           int
	}{
		{"the same once more", "/once/a", "deadly", http.StatusServiceUnavailable},
		{"another body", "/once/a", "deadly2", http.StatusOK},
		{"another path", "/once/b", "deadly", http.StatusOK},
		{"another query", "/once/a?b", "deadly", http.StatusOK},
		{"another kind of route", "/read/a", "deadly", http.StatusOK},
	}
	x := newFixture(t, ending(t, "s1"))
	x.send("/once/a", key, "deadly")
	time.Sleep(210 * time.Millisecond)
	x.join(ending(t, "s2"))
	x.send("/once/a", key, "deadly")
	time.Sleep(210 * time.Millisecond)
	healthy := newStandIn(t, "s3", answerOK)
	x.join(healthy)
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			got := x.send(tt.path, key, tt.body)
			if got.status != tt.status {
				t.Errorf("answered with %d %q, want %d", got.status, got.body, tt.status)
			}
			if refused := tt.status == http.StatusServiceUnavailable; refused != (got.header.Get("Retry-After") != "") {
				t.Errorf("Retry-After is %q", got.header.Get("Retry-After"))
			}
		})
	}
	if n := len(healthy.requests()); n != len(tests)-1 {
		t.Errorf("%d requests reached the sound server, want %d", n, len(tests)-1)
	}
}
