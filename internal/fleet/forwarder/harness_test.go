package forwarder

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"verbenareach/internal/fleet/balancer"
	"verbenareach/internal/fleet/budgeter"
	"verbenareach/internal/fleet/cataloger"
	"verbenareach/internal/fleet/quarantiner"
	"verbenareach/internal/fleet/receiver"
	"verbenareach/internal/fleet/sender"
	"verbenareach/internal/fleet/throttler"
	"verbenareach/internal/fleet/tracker"
	"verbenareach/internal/wire/messenger"
)

type (
	// standIn is a backend server whose responses a test scripts, byte by byte.
	standIn struct {
		id      string
		address string
		// script answers a request on its connection. It reports whether the connection stays
		// open.
		script   func(c net.Conn, seen seenRequest) bool
		listener net.Listener
		// early is set if script gets a request once its header was read. The rest is in its Body.
		early bool
		// fixture is what the stand-in belongs to.
		fixture *fixture

		mu   sync.Mutex
		seen []seenRequest
		// conns counts the accepted connections.
		conns int
	}

	seenRequest struct {
		*http.Request

		body string
		// n is the number of the request at its stand-in, from 1.
		n int
	}

	// fixture is a forwarder behind a receiver, with stand-ins as backend servers.
	fixture struct {
		t         *testing.T
		address   string
		forwarder *Forwarder
		receiver  *receiver.Receiver
		tracker   *tracker.Tracker

		mu sync.Mutex
		// states holds the reported states of generations, oldest first.
		states []*messenger.RunState
		// requestID is the id of the requests that are sent.
		requestID string
		// place is the id of the engine for the next generation, copy that of the engine for its
		// backup; empty for none.
		place, copy string
	}
)

// dialect has names of its own, so that no test depends on the platform's.
var dialect = Dialect{
	RequestID: "T-Id", Deadline: "T-Left", Expect: "T-Only", Workspace: "T-Workspace", Signature: "T-Signed",
	NotRun: "T-Not-Run", RateLimit: "T-Limit", Leaves: "T-Leaves", Backup: "T-Backup", Continue: "T-Continue", LastEvent: "T-Last",
	Reserved:    []string{"t-reserved"},
	ParseDemand: func(*receiver.Request) *messenger.PlaceRequest { return &messenger.PlaceRequest{PromptTokens: 10} },
	Copy:        copyByCall, Release: releaseByCall,
}

// releaseByCall has a stand-in release a copy.
func releaseByCall(ctx context.Context, pool *sender.Pool, address string, handle CopyHandle) error {
	conn, err := pool.Get(ctx, time.Now(), address, 0)
	if err != nil {
		return err
	}
	resp, err := pool.Send(ctx, conn, sender.Request{Method: http.MethodDelete, Target: "/release/" + string(handle), Host: address})
	if err != nil {
		return err
	}
	resp.Abort()
	return nil
}

// copyByCall requests a copy from a stand-in.
func copyByCall(ctx context.Context, pool *sender.Pool, address, run, to string, stop bool) (CopyHandle, error) {
	conn, err := pool.Get(ctx, time.Now(), address, 0)
	if err != nil {
		return "", err
	}
	resp, err := pool.Send(ctx, conn, sender.Request{
		Method: http.MethodPost, Target: fmt.Sprintf("/copy?run=%s&to=%s&stop=%v", run, to, stop), Host: address,
	})
	if err != nil {
		return "", err
	}
	defer resp.Done()
	var reply struct{ ID CopyHandle }
	err = json.NewDecoder(resp.Body).Decode(&reply)
	if err == nil && resp.Status != http.StatusOK {
		err = fmt.Errorf("status %d", resp.Status)
	}
	notRun := resp.Header.Get("T-Not-Run") != ""
	switch {
	case err == nil || reply.ID != "":
		return reply.ID, err
	case notRun || resp.Status == http.StatusNotFound || resp.Status == http.StatusConflict:
		return "", &NotStoppedError{Cause: err}
	default:
		return "", &UnclearStopError{Cause: err}
	}
}

func newStandIn(t *testing.T, id string, script func(c net.Conn, seen seenRequest) bool) *standIn {
	t.Helper()
	s := &standIn{id: id, script: script}
	s.listen(t)
	return s
}

// newEarlyStandIn returns a stand-in that may answer before it has read the body of the request.
func newEarlyStandIn(t *testing.T, id string, script func(c net.Conn, seen seenRequest) bool) *standIn {
	t.Helper()
	s := &standIn{id: id, script: script, early: true}
	s.listen(t)
	return s
}

func (s *standIn) listen(t *testing.T) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s.address, s.listener = l.Addr().String(), l
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			s.conns++
			s.mu.Unlock()
			go s.serve(c)
		}
	}()
}

func (s *standIn) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	br := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		var body []byte
		if !s.early {
			body, err = io.ReadAll(r.Body)
		}
		if err != nil {
			return
		}
		s.mu.Lock()
		seen := seenRequest{Request: r, body: string(body), n: len(s.seen) + 1}
		s.seen = append(s.seen, seen)
		s.mu.Unlock()
		if !s.script(c, seen) {
			return
		}
	}
}

func (s *standIn) requests() []seenRequest {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]seenRequest(nil), s.seen...)
}

// answer writes a whole response to a request; fields are further header lines. It reports
// whether the connection stays open.
func answer(c net.Conn, seen seenRequest, status int, fields, body string) bool {
	_, err := fmt.Fprintf(c, "HTTP/1.1 %d X\r\nT-Id: %s\r\n%sContent-Length: %d\r\n\r\n%s",
		status, seen.Header.Get("T-Id"), fields, len(body), body)
	return err == nil
}

const signed = "T-Signed: s\r\n"

// longUploadBytes is the length of a body that is still being written while its response comes.
const longUploadBytes = 8 << 20

// routesOfEachKind holds a path of each kind of route.
var routesOfEachKind = []string{"/read/a", "/once/a", "/stream/a", "/plain-stream/a", "/resume/a"}

func answerOK(c net.Conn, seen seenRequest) bool {
	return answer(c, seen, http.StatusOK, signed, "whole")
}

// reset closes a connection so that its peer sees a reset.
func reset(c net.Conn) bool {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	return false
}

func newFixture(t *testing.T, standIns ...*standIn) *fixture {
	t.Helper()
	x := &fixture{t: t, requestID: "id-1", tracker: &tracker.Tracker{Name: "host", SilenceTimeout: time.Minute}}
	x.join(standIns...)
	service := []cataloger.Service{{Name: "plain"}, {Name: "engine", Engine: &cataloger.Engine{TokensPerEvent: 4, Slots: 8, Tokens: 1000}}}
	route := func(path string, kind cataloger.Kind, service string) cataloger.Route {
		return cataloger.Route{
			Name: path, Host: "h", PathPrefix: path, Kind: kind, Timeout: 2 * time.Second, Objective: time.Second, Gap: 180 * time.Millisecond,
			Split: []cataloger.Share{{Service: service, Weight: 1}}, Attempts: 2, Public: path == "/public/",
		}
	}
	routes := []cataloger.Route{
		route("/read/", cataloger.Idempotent, "plain"), route("/once/", cataloger.NonIdempotent, "plain"),
		route("/stream/", cataloger.Stream, "engine"), route("/plain-stream/", cataloger.Stream, "plain"), route("/public/", cataloger.Idempotent, "plain"),
		route("/resume/", cataloger.Stream, "engine"), route("/plain-resume/", cataloger.Stream, "plain"),
	}
	for i := range routes {
		routes[i].Resumable = strings.HasSuffix(routes[i].Name, "resume/")
	}
	workspaces := []cataloger.Workspace{{Name: "ws", Keys: []string{"key"}}}
	c, err := cataloger.New(1, routes, service, cataloger.Limits{}, workspaces, true)
	if err != nil {
		t.Fatal(err)
	}
	x.forwarder = &Forwarder{
		Dialect: dialect, Balancer: &balancer.Balancer{Hosts: func() int { return 1 }, ReportLoss: func(string) {}}, Catalog: func() *cataloger.Catalog { return c }, Tracker: x.tracker,
		Budget:     &budgeter.Budgeter{Slack: 100, Window: time.Minute, Hosts: func() int { return 1 }},
		Quarantine: &quarantiner.Quarantiner{Publish: func(string, *messenger.CrashReport) {}, OnQuarantine: func(time.Time) {}, OnChange: func() {}},
		Throttler:  &throttler.Throttler{Publish: func(string, []*messenger.RateLimit) {}, Share: func() float64 { return 1 }},
		Pool:       &sender.Pool{IdleTimeout: time.Minute}, Stopping: func() *Stop { return nil },
		OnLeaving: func(now time.Time, b *messenger.Backend, _ string) { x.tracker.MarkLeaving(now, b) },
		Observe:   func(string, string, time.Duration) {}, ObserveFirstEvent: func(time.Duration) {}, ObserveGap: func(time.Duration) {},
		ObservePace: func(time.Time, *messenger.Backend, time.Duration, int) {}, ObservePause: func(time.Duration, time.Duration) {},
		Place: func(context.Context, *messenger.PlaceRequest) (*messenger.Placement, error) {
			return &messenger.Placement{Backend: x.place, Backup: x.copy}, nil
		},
		ReportState: func(s *messenger.RunState) {
			x.mu.Lock()
			defer x.mu.Unlock()
			x.states = append(x.states, s)
		},
	}
	x.forwarder.Permit = func(_ context.Context, b *messenger.Backend, maxWait time.Duration) (time.Duration, bool) {
		return x.forwarder.Throttler.Reserve(time.Now(), b, maxWait)
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	x.address = l.Addr().String()
	r := &receiver.Receiver{Handle: x.forwarder.Handle, Deadline: x.forwarder.Deadline, Limits: func() receiver.Limits {
		return receiver.Limits{HeaderBytes: 4096, BodyBytes: longUploadBytes, HeaderTimeout: time.Second, IdleTimeout: time.Second}
	}}
	x.receiver = r
	go r.Run(l)
	t.Cleanup(func() {
		_ = l.Close()
		r.CloseIdle()
	})
	return x
}

// join registers stand-ins as backend servers; those whose id begins with "e" are engines.
func (x *fixture) join(standIns ...*standIn) {
	for _, s := range standIns {
		s.fixture = x
		service := "plain"
		if s.id[0] == 'e' {
			service = "engine"
		}
		x.tracker.Heartbeat(time.Now(), &messenger.Backend{Id: s.id, Service: service, Address: s.address, Sequence: 1})
	}
}

// newFixtureOfOne returns a fixture in which the backend server of each route is such a stand-in.
func newFixtureOfOne(t *testing.T, newOne func(id string) *standIn) *fixture {
	t.Helper()
	x := newFixture(t, newOne("e1"), newOne("s"))
	x.place = "e1"
	return x
}

// occupy adds an outstanding request to a backend server, so that others are chosen first.
func (x *fixture) occupy(id string) {
	x.forwarder.Balancer.Choose(time.Now(), []*messenger.Backend{{Id: id}}, nil)
}

// reply is a response as a client received it.
type reply struct {
	status int
	header http.Header
	body   string
	// err is set if the response is incomplete.
	err error
}

// send sends a request and reads its response. fields are further header lines.
func (x *fixture) send(path, fields, body string) reply {
	x.t.Helper()
	c, err := net.Dial("tcp", x.address)
	if err != nil {
		x.t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	return x.sendOn(c, path, fields, body)
}

// sendOn is like send on a given connection.
func (x *fixture) sendOn(c net.Conn, path, fields, body string) reply {
	x.t.Helper()
	_ = c.SetDeadline(time.Now().Add(5 * time.Second))
	var request bytes.Buffer
	fmt.Fprintf(&request, "POST %s HTTP/1.1\r\nHost: h\r\nT-Id: %s\r\n%sContent-Length: %d\r\n\r\n%s", path, x.requestID, fields, len(body), body)
	if _, err := c.Write(request.Bytes()); err != nil {
		x.t.Fatal(err)
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return reply{err: err}
	}
	defer resp.Body.Close()
	got, err := io.ReadAll(resp.Body)
	return reply{status: resp.StatusCode, header: resp.Header, body: string(got), err: err}
}

const key = "Authorization: Bearer key\r\n"

// placeInOrder has generations placed on the first of the engines that is not to be avoided.
func (x *fixture) placeInOrder(ids ...string) {
	x.forwarder.Place = func(_ context.Context, req *messenger.PlaceRequest) (*messenger.Placement, error) {
		for _, id := range ids {
			if !slices.Contains(req.Avoid, id) {
				return &messenger.Placement{Backend: id, Backup: x.copy}, nil
			}
		}
		return &messenger.Placement{Reason: "no engine has room"}, nil
	}
}
