package runner

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"go.uber.org/goleak"
	"golang.org/x/sync/errgroup"

	"verbenareach/internal/config/parser"
	"verbenareach/internal/engine/emulator"
	"verbenareach/internal/event/logger"
	"verbenareach/internal/operator/requester"
	"verbenareach/internal/operator/responder"
)

type (
	// drainSystem is a standalone system whose roles are started and stopped one by one,
	// and whose connections to the control host can be blocked.
	drainSystem struct {
		*testSystem

		parts    map[string]*part
		links    map[string]*link
		counters map[string]*eventCounter
		mu       sync.Mutex
	}

	// part is one running role.
	part struct {
		stop context.CancelFunc
		done chan error
	}

	// link is a TCP proxy. While blocked it drops all data without closing connections.
	link struct {
		listener net.Listener
		target   string

		mu      sync.Mutex
		blocked chan struct{}
		open    []net.Conn
	}

	// eventCounter collects a role's log and counts its events.
	eventCounter struct {
		mu   sync.Mutex
		text strings.Builder
	}
)

// Write appends one line of the log.
func (l *eventCounter) Write(line []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(line)
}

func (l *eventCounter) count(ev logger.Event) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Count(l.text.String(), "event="+ev.Code())
}

func newLink(t *testing.T, target string) *link {
	t.Helper()
	host, _, _ := net.SplitHostPort(target)
	listener, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
	if err != nil {
		t.Fatal(err)
	}
	l := &link{listener: listener, target: target, blocked: make(chan struct{})}
	go l.serve()
	return l
}

func (l *link) serve() {
	for {
		client, err := l.listener.Accept()
		if err != nil {
			return
		}
		server, err := net.Dial("tcp", l.target)
		if err != nil {
			client.Close()
			continue
		}
		l.mu.Lock()
		l.open = append(l.open, client, server)
		l.mu.Unlock()
		go l.forward(client, server)
		go l.forward(server, client)
	}
}

func (l *link) forward(from, to net.Conn) {
	defer to.Close()
	buf := make([]byte, 4096)
	for {
		n, err := from.Read(buf)
		if err != nil {
			return
		}
		if l.isBlocked() {
			continue // The connection stays open, but the data is dropped.
		}
		if _, err := to.Write(buf[:n]); err != nil {
			return
		}
	}
}

func (l *link) isBlocked() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	select {
	case <-l.blocked:
		return true
	default:
		return false
	}
}

// block makes the link drop all data until restore is called.
func (l *link) block() {
	l.mu.Lock()
	defer l.mu.Unlock()
	close(l.blocked)
}

// restore forwards data again, for new connections only: it closes the open ones.
func (l *link) restore() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.blocked = make(chan struct{})
	for _, c := range l.open {
		c.Close()
	}
	l.open = nil
}

func (l *link) close() {
	l.listener.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.open {
		c.Close()
	}
}

func startDrainSystem(t *testing.T, host string) *drainSystem {
	t.Helper()
	parameters := emulator.DefaultParameters()
	parameters.StepBase = 2 * time.Millisecond
	d := &drainSystem{parts: make(map[string]*part), links: make(map[string]*link), counters: make(map[string]*eventCounter)}
	standalone := &Standalone{
		Host: host, BasePort: testBasePort, DataFolder: t.TempDir(), Entries: 2, Engines: 2, Parameters: parameters,
		Log: func(s parser.Settings) *logger.Logger {
			return &logger.Logger{Out: log.NewWithOptions(d.counterOf(s.Name), log.Options{Level: log.DebugLevel})}
		},
	}
	d.testSystem = &testSystem{Standalone: standalone, t: t}
	standalone.Prepare()
	d.start("control", func(ctx context.Context) error { return standalone.runControl(ctx) })
	d.start("backends", func(ctx context.Context) error {
		g := &errgroup.Group{}
		if err := standalone.runBackends(ctx, g); err != nil {
			return err
		}
		return g.Wait()
	})
	d.start("contract", standalone.putContract)
	for i := range 2 {
		d.startRole(standalone.agentSettings(i))
		d.startRole(standalone.entrySettings(i))
	}
	for i := range 2 {
		d.awaitReady(i)
	}
	for i := range 2 {
		d.waitFor("an engine has announced itself to its agent", func() bool {
			return d.counters[standalone.agentSettings(i).Name].count(logger.BackendAnnounced) > 0
		})
	}
	return d
}

func (d *drainSystem) counterOf(name string) *eventCounter {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.counters[name] == nil {
		d.counters[name] = &eventCounter{}
	}
	return d.counters[name]
}

func (d *drainSystem) start(name string, run func(ctx context.Context) error) {
	ctx, stop := context.WithCancel(context.Background())
	p := &part{stop: stop, done: make(chan error, 1)}
	d.parts[name] = p
	go func() { p.done <- run(ctx) }()
}

// startRole starts a role whose connection to the control host can be blocked.
func (d *drainSystem) startRole(s parser.Settings) {
	if d.links[s.Name] == nil {
		d.links[s.Name] = newLink(d.t, d.address(controlOffset))
	}
	control := []string{d.links[s.Name].listener.Addr().String()}
	if s.Entry != nil {
		s.Entry.Control = control
	} else {
		s.Agent.Control = control
	}
	d.start(s.Name, func(ctx context.Context) error { return d.run(ctx, s) })
}

// stopPart begins the planned stop of a role and waits until it has ended.
func (d *drainSystem) stopPart(name string) {
	d.t.Helper()
	p := d.parts[name]
	delete(d.parts, name)
	p.stop()
	if err := <-p.done; err != nil {
		d.t.Errorf("%s ended with %v", name, err)
	}
}

func (d *drainSystem) stopAll() {
	for _, name := range []string{"entry-1", "entry-2", "engine-1", "engine-2", "backends", "contract", "control"} {
		if d.parts[name] != nil {
			d.stopPart(name)
		}
	}
	for _, l := range d.links {
		l.close()
	}
	http.DefaultClient.CloseIdleConnections()
	http.DefaultTransport.(*http.Transport).CloseIdleConnections()
}

// waitFor waits until condition holds and fails the test after waitLimit.
func (d *drainSystem) waitFor(what string, condition func() bool) {
	d.t.Helper()
	for deadline := time.Now().Add(waitLimit); !condition(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			d.t.Fatalf("timed out waiting until %s", what)
		}
	}
}

func (d *drainSystem) mark(server string, replaces uint64, leaving bool) {
	d.t.Helper()
	operator := &requester.Requester{Addresses: []string{d.OperatorAddress()}, Key: DemoOperatorKey}
	if _, err := operator.SetMark(context.Background(), server, responder.MarkRequest{Replaces: replaces, Leaving: leaving}); err != nil {
		d.t.Fatalf("mark of %s: %v", server, err)
	}
}

// load sends n short generations through both entries; all must be answered.
func (d *drainSystem) load(n int) {
	d.t.Helper()
	var g errgroup.Group
	for i := range n {
		g.Go(func() error {
			status, body := d.post(i%2, "/v1/chat/completions", "", `{"model":"rota-large","messages":[{"role":"user","content":"Is it my turn?"}],"stand_in_length":3}`)
			if status != http.StatusOK {
				return fmt.Errorf("status %d: %s", status, body)
			}
			return nil
		})
	}
	if err := g.Wait(); err != nil {
		d.t.Error(err)
	}
}

// TestDrain drains a backend server while its agent and one entry can't reach
// control, restarts the agent during the drain, and returns the server to service.
func TestDrain(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	d := startDrainSystem(t, testHost(3))
	defer d.stopAll()
	want := d.expected(700)
	resp := d.open(len(want))
	events := newEventReader(resp.Body)
	got, last, _ := readTokens(t, events, 10)
	leaving, stays := 0, 1
	if strings.Contains(last, "@engine-2/") {
		leaving, stays = 1, 0
	}
	server, other := fmt.Sprintf("engine-%d", leaving+1), fmt.Sprintf("engine-%d", stays+1)
	serverEvents := d.counterOf(server)

	d.links[server].block()
	d.links["entry-2"].block()
	d.mark(server, 0, true)
	d.waitFor("the agent has applied the mark", func() bool { return serverEvents.count(logger.MarkApplied) == 1 })
	admitted := serverEvents.count(logger.WorkAdmitted)
	d.load(40)
	if n := serverEvents.count(logger.WorkAdmitted) - admitted; n != 0 {
		t.Errorf("%d new generations reached the backend server that is leaving", n)
	}
	d.links["entry-2"].restore()
	d.links[server].restore()

	rest, _, whole := readTokens(t, events, 0)
	resp.Body.Close()
	if !whole {
		t.Error("the stream that was in progress did not end whole")
	}
	d.equal(append(got, rest...), want)

	announced := serverEvents.count(logger.BackendAnnounced)
	d.stopPart(server)
	d.startRole(d.agentSettings(leaving))
	d.waitFor("the backend server announced itself to the restarted agent", func() bool { return serverEvents.count(logger.BackendAnnounced) > announced })
	d.waitFor("the restarted agent knows the mark", func() bool { return serverEvents.count(logger.MarkApplied) == 2 })
	d.load(40)
	if n := serverEvents.count(logger.WorkAdmitted) - admitted; n != 0 {
		t.Errorf("%d new generations reached the backend server after its agent restarted", n)
	}

	d.mark(server, 1, false)
	d.waitFor("the agent has applied the mark of the return", func() bool { return serverEvents.count(logger.MarkApplied) == 3 })
	d.waitFor("the returned server gets work", func() bool {
		return openStreams(t, d, serverEvents, d.counterOf(other)) > 0
	})
}

// openStreams opens many streams at once on one entry, just after a server's return,
// and returns how many that server got. Slow start must give it far fewer than its peer.
func openStreams(t *testing.T, d *drainSystem, returned, peer *eventCounter) int {
	t.Helper()
	const streams = 24
	before, beforePeer := returned.count(logger.WorkAdmitted), peer.count(logger.WorkAdmitted)
	var open []*http.Response
	for range streams {
		open = append(open, d.open(300))
	}
	n, m := returned.count(logger.WorkAdmitted)-before, peer.count(logger.WorkAdmitted)-beforePeer
	if n+m != streams || n > streams/2-2 {
		t.Errorf("just after its return the server got %d of %d streams, its peer %d", n, streams, m)
	}
	for _, resp := range open {
		if _, _, whole := readTokens(t, newEventReader(resp.Body), 0); !whole {
			t.Error("a stream did not end whole")
		}
		resp.Body.Close()
	}
	return n
}

// TestPlannedStopsAtOnce stops an entry and the agent that serves its stream together.
func TestPlannedStopsAtOnce(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	d := startDrainSystem(t, testHost(4))
	defer d.stopAll()
	want := d.expected(400)
	resp := d.open(len(want))
	events := newEventReader(resp.Body)
	got, last, _ := readTokens(t, events, 10)
	server := "engine-1"
	if strings.Contains(last, "@engine-2/") {
		server = "engine-2"
	}
	for _, name := range []string{"entry-1", server} {
		d.parts[name].stop()
	}
	for range 20 {
		status, body := d.post(1, "/v1/chat/completions", "", `{"model":"rota-large","messages":[{"role":"user","content":"Is it my turn?"}],"stand_in_length":3}`)
		if status != http.StatusOK {
			t.Errorf("the other entry answered %d: %s", status, body)
		}
	}
	rest, _, whole := readTokens(t, events, 0)
	io.Copy(io.Discard, resp.Body)
	resp.Body.Close()
	if !whole {
		t.Error("two planned stops cut the stream")
	}
	d.equal(append(got, rest...), want)
	d.stopPart("entry-1")
	d.stopPart(server)
}
