package runner

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"

	"verbenareach/internal/config/parser"
	"verbenareach/internal/engine/emulator"
	"verbenareach/internal/event/logger"
)

const (
	testBasePort = 21000
	waitLimit    = 30 * time.Second
)

// testSystem is a standalone system under test.
type testSystem struct {
	*Standalone

	t    *testing.T
	stop context.CancelFunc
	done chan error
	// logged holds the logs of all roles at debug level.
	logged *lockedBuffer
}

// lockedBuffer is a buffer for concurrent use by several loggers.
type lockedBuffer struct {
	mu   sync.Mutex
	text strings.Builder
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}

// tokenEvent is one event of a stream.
type tokenEvent struct {
	id, name, data string
}

// testHost returns a loopback address derived from the process id, as several
// checkouts may be tested on one host at the same time.
func testHost(n int) string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 64+pid>>8&63, pid&255, n)
}

// startSystem runs a system on a loopback address of its own and waits until it serves.
func startSystem(t *testing.T, host string, entries, engines, services int) *testSystem {
	t.Helper()
	return startSystemWith(t, host, emulator.DefaultParameters(), entries, engines, services)
}

// startSystemWith is startSystem with the given engine parameters.
func startSystemWith(t *testing.T, host string, parameters emulator.Parameters, entries, engines, services int) *testSystem {
	t.Helper()
	parameters.StepBase = 2 * time.Millisecond
	s := &testSystem{
		Standalone: &Standalone{
			Host: host, BasePort: testBasePort, DataFolder: t.TempDir(),
			Entries: entries, Engines: engines, Services: services, Parameters: parameters,
			ResumeGrace: time.Second,
		},
		t: t, done: make(chan error, 1), logged: &lockedBuffer{},
	}
	s.Log = func(settings parser.Settings) *logger.Logger {
		settings.LogLevel = "debug"
		return NewLogger(settings, s.logged)
	}
	s.Prepare()
	ctx, stop := context.WithCancel(context.Background())
	s.stop = stop
	go func() { s.done <- s.Run(ctx) }()
	t.Cleanup(s.end)
	for i := range entries {
		s.awaitReady(i)
	}
	return s
}

// awaitReady waits until an entry has answered a generation for each engine.
func (s *testSystem) awaitReady(entry int) {
	s.t.Helper()
	deadline := time.Now().Add(waitLimit)
	for range s.Engines {
		for {
			status, body := s.post(entry, "/v1/chat/completions", "", `{"model":"rota-large","messages":[{"role":"user","content":"ready?"}],"stand_in_length":1}`)
			if status == http.StatusOK {
				break
			}
			if time.Now().After(deadline) {
				s.t.Fatalf("entry %d does not serve: %d %s", entry, status, body)
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
}

func (s *testSystem) end() {
	s.stop()
	if err := <-s.done; err != nil {
		s.t.Errorf("system ended with %v", err)
	}
	http.DefaultClient.CloseIdleConnections()
}

func (s *testSystem) request(method string, entry int, path, key, body string) *http.Request {
	r, err := http.NewRequest(method, "http://"+s.EntryAddress(entry)+path, strings.NewReader(body))
	if err != nil {
		s.t.Fatal(err)
	}
	r.Header.Set("Authorization", "Bearer "+DemoKey)
	if key != "" {
		r.Header.Set("Idempotency-Key", key)
	}
	return r
}

func (s *testSystem) post(entry int, path, key, body string) (int, string) {
	resp, err := http.DefaultClient.Do(s.request(http.MethodPost, entry, path, key, body))
	if err != nil {
		return 0, err.Error()
	}
	defer resp.Body.Close()
	text, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, string(text)
}

// open starts a stream of n tokens.
func (s *testSystem) open(n int) *http.Response {
	s.t.Helper()
	body := fmt.Sprintf(`{"model":"rota-large","stream":true,"seed":7,"messages":[{"role":"user","content":"Draft a rota"}],"stand_in_length":%d}`, n)
	return s.do(s.request(http.MethodPost, 0, "/v1/chat/completions", "", body))
}

func (s *testSystem) do(r *http.Request) *http.Response {
	s.t.Helper()
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		s.t.Fatal(err)
	}
	if resp.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(resp.Body)
		s.t.Fatalf("status %d: %s", resp.StatusCode, text)
	}
	return resp
}

// eventReader reads events one by one.
type eventReader struct {
	lines *bufio.Scanner
}

func newEventReader(r io.Reader) *eventReader {
	return &eventReader{lines: bufio.NewScanner(r)}
}

func (e *eventReader) next() (ev tokenEvent, ok bool) {
	for e.lines.Scan() {
		line := e.lines.Text()
		name, value, _ := strings.Cut(line, ": ")
		switch {
		case line == "" && ev.data != "":
			return ev, true
		case name == "id":
			ev.id = value
		case name == "event":
			ev.name = value
		case name == "data":
			ev.data = value
		}
	}
	return ev, false
}

// readTokens reads events until the end event or until n tokens have arrived; 0 sets
// no limit. whole reports whether the end event arrived.
func readTokens(t *testing.T, events *eventReader, n int) (texts []string, lastID string, whole bool) {
	t.Helper()
	for n <= 0 || len(texts) < n {
		ev, ok := events.next()
		if !ok {
			return texts, lastID, false
		}
		if ev.name == "end" {
			return texts, lastID, true
		}
		if ev.name == "incomplete" {
			t.Errorf("incomplete: %s", ev.data)
			return texts, lastID, false
		}
		if ev.id == "" {
			continue
		}
		var chunk struct {
			Choices []struct {
				Delta struct{ Content string }
			}
		}
		if err := json.Unmarshal([]byte(ev.data), &chunk); err != nil {
			t.Fatal(err)
		}
		lastID = ev.id
		texts = append(texts, chunk.Choices[0].Delta.Content)
	}
	return texts, lastID, false
}

// expected returns the tokens of an undisturbed generation of n tokens.
func (s *testSystem) expected(n int) []string {
	s.t.Helper()
	resp := s.open(n)
	defer resp.Body.Close()
	texts, _, whole := readTokens(s.t, newEventReader(resp.Body), 0)
	if !whole || len(texts) != n {
		s.t.Fatalf("%d tokens, whole %v", len(texts), whole)
	}
	return texts
}

func (s *testSystem) equal(got, want []string) {
	s.t.Helper()
	if strings.Join(got, "|") != strings.Join(want, "|") {
		s.t.Errorf("got %d tokens %.80q, want %d tokens %.80q", len(got), got, len(want), want)
	}
}

func TestWholePath(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	s := startSystem(t, testHost(1), 2, 2, 1)
	want := s.expected(300)
	t.Run("another entry resumes", func(t *testing.T) { testResume(t, s, want) })
	t.Run("bookings", func(t *testing.T) { testBookings(t, s) })
	t.Run("bad input", func(t *testing.T) { testBadInput(t, s) })
	t.Run("canceled", func(t *testing.T) { testCancel(t, s) })
	t.Run("vanishing callers", func(t *testing.T) { testVanishingCallers(t, s) })
	t.Run("engine killed", func(t *testing.T) { testEngineKilled(t, s, want) })
	s.end()
	s.done <- nil
	for _, secret := range []string{DemoKey, DemoOperatorKey} {
		if strings.Contains(s.logged.String(), secret) {
			t.Errorf("the log holds %q", secret)
		}
	}
	if !strings.Contains(s.logged.String(), "VR2203") {
		t.Error("the log holds no admitted generation")
	}
}

func testResume(t *testing.T, s *testSystem, want []string) {
	resp := s.open(len(want))
	got, last, _ := readTokens(t, newEventReader(resp.Body), 100)
	resp.Body.Close()
	id, _, _ := strings.Cut(last, "@")
	r := s.request(http.MethodGet, 1, "/v1/generations/"+id, "", "")
	r.Header.Set("Last-Event-ID", last)
	resp = s.do(r)
	defer resp.Body.Close()
	rest, _, whole := readTokens(t, newEventReader(resp.Body), 0)
	if !whole {
		t.Error("the rest is not whole")
	}
	s.equal(append(got, rest...), want)
}

func testBookings(t *testing.T, s *testSystem) {
	for range 3 {
		for entry := range 2 {
			status, body := s.post(entry, "/v1/services/rota/swaps", "key-1", `{"reference":"swap-1"}`)
			if status != http.StatusCreated || !strings.Contains(body, `"runs":1`) {
				t.Errorf("entry %d: %d %s", entry, status, body)
			}
		}
	}
	if status, body := s.post(0, "/v1/services/rota/swaps", "key-1", `{"reference":"swap-2"}`); status != http.StatusUnprocessableEntity || !strings.Contains(body, `"ran":"no"`) {
		t.Errorf("another request under the same key: %d %s", status, body)
	}
	if n := s.Service(0).Runs("swap-1"); n != 1 {
		t.Errorf("the swap ran %d times", n)
	}
	if n := s.Service(0).Runs("swap-2"); n != 0 {
		t.Errorf("the conflicting swap ran %d times", n)
	}
}

func testBadInput(t *testing.T, s *testSystem) {
	tests := []struct {
		name, path, body, auth string
		status                 int
		code                   string
	}{
		{name: "malformed", path: "/v1/chat/completions", body: `{"model":`, status: 400, code: "malformedJSON"},
		{name: "unknown model", path: "/v1/chat/completions", body: `{"model":"x","messages":[{}]}`, status: 404, code: "unknownModel"},
		{name: "too long for the engine", path: "/v1/chat/completions", body: `{"model":"rota-large","messages":[{"role":"user","content":"x"}],"stand_in_length":100000}`, status: 400, code: "engineRefused"},
		{name: "no messages", path: "/v1/chat/completions", body: `{"model":"rota-large"}`, status: 400, code: "missingMessages"},
		{name: "too large", path: "/v1/completions", body: strings.Repeat(" ", 5<<20), status: 413, code: "bodyTooLarge"},
		{name: "unknown key", path: "/v1/completions", auth: "Bearer nobody", status: 401, code: "unknownKey"},
		{name: "no key", path: "/v1/completions", auth: "Basic x", status: 401, code: "missingKey"},
		{name: "unknown service", path: "/v1/services/x/y", status: 404, code: "unknownService"},
		{name: "unknown path", path: "/v2/x", status: 404, code: "unknownPath"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := s.request(http.MethodPost, 0, tt.path, "", tt.body)
			if tt.auth != "" {
				r.Header.Set("Authorization", tt.auth)
			}
			resp, err := http.DefaultClient.Do(r)
			if err != nil {
				t.Fatal(err)
			}
			defer resp.Body.Close()
			text, _ := io.ReadAll(resp.Body)
			if resp.StatusCode != tt.status || !strings.Contains(string(text), `"code":"`+tt.code+`"`) || !strings.Contains(string(text), `"ran":"no"`) {
				t.Errorf("%d %s", resp.StatusCode, text)
			}
		})
	}
}

func testCancel(t *testing.T, s *testSystem) {
	resp := s.open(30_000)
	defer resp.Body.Close()
	events := newEventReader(resp.Body)
	_, last, _ := readTokens(t, events, 5)
	id, _, _ := strings.Cut(last, "@")
	r := s.request(http.MethodDelete, 1, "/v1/generations/"+id, "", "")
	r.Header.Set("Last-Event-ID", last)
	answer, err := http.DefaultClient.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	answer.Body.Close()
	if answer.StatusCode != http.StatusNoContent {
		t.Errorf("status %d", answer.StatusCode)
	}
	for {
		ev, ok := events.next()
		if !ok || ev.name == "incomplete" {
			break
		}
	}
}

// testVanishingCallers disconnects callers in mid-stream, in mid-body and before they
// send anything; goleak then finds leaked goroutines.
func testVanishingCallers(t *testing.T, s *testSystem) {
	for range 5 {
		resp := s.open(2000)
		readTokens(t, newEventReader(resp.Body), 3)
		resp.Body.Close()
	}
	for _, text := range []string{"", "POST /v1/chat/completions HTTP/1.1\r\n", "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " + DemoKey + "\r\nContent-Length: 100\r\n\r\n{"} {
		conn, err := net.Dial("tcp", s.EntryAddress(0))
		if err != nil {
			t.Fatal(err)
		}
		if _, err := conn.Write([]byte(text)); err != nil {
			t.Error(err)
		}
		conn.Close()
	}
}

func testEngineKilled(t *testing.T, s *testSystem, want []string) {
	resp := s.open(len(want))
	defer resp.Body.Close()
	events := newEventReader(resp.Body)
	got, last, _ := readTokens(t, events, 50)
	victim := 0
	if strings.Contains(last, "@engine-2/") {
		victim = 1
	}
	s.Engine(victim).Kill()
	rest, last, whole := readTokens(t, events, 0)
	if !whole || !strings.Contains(last, fmt.Sprintf("@engine-%d/", 2-victim)) {
		t.Errorf("whole %v, last id %s", whole, last)
	}
	s.equal(append(got, rest...), want)
}

// TestHungEngine stalls an engine, which still announces itself but produces no more
// tokens: another engine must finish the generation.
func TestHungEngine(t *testing.T) {
	s := startSystem(t, testHost(4), 1, 2, 0)
	want := s.expected(300)
	resp := s.open(len(want))
	defer resp.Body.Close()
	events := newEventReader(resp.Body)
	got, last, _ := readTokens(t, events, 50)
	victim := 0
	if strings.Contains(last, "@engine-2/") {
		victim = 1
	}
	s.Engine(victim).Stall(true)
	rest, last, whole := readTokens(t, events, 0)
	s.Engine(victim).Stall(false)
	if !whole || !strings.Contains(last, fmt.Sprintf("@engine-%d/", 2-victim)) {
		t.Errorf("whole %v, last id %s", whole, last)
	}
	s.equal(append(got, rest...), want)
}

func TestPlannedStopFinishesWork(t *testing.T) {
	s := startSystem(t, testHost(2), 1, 1, 0)
	want := s.expected(500)
	resp := s.open(len(want))
	defer resp.Body.Close()
	events := newEventReader(resp.Body)
	got, _, _ := readTokens(t, events, 10)
	s.stop()
	rest, _, whole := readTokens(t, events, 0)
	if !whole {
		t.Error("the stop cut the stream")
	}
	s.equal(append(got, rest...), want)
}
