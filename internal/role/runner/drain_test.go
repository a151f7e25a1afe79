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
	// and whose links to the control host can be cut.
	drainSystem struct {
		*testSystem

		parts map[string]*part
		links map[string]*link
		lines map[string]*lines
		mu    sync.Mutex
	}

	// part is one running role.
	part struct {
		stop context.CancelFunc
		done chan error
	}

	// link passes bytes on to an address until it is cut: then it stays silent.
	link struct {
		listener net.Listener
		target   string

		mu   sync.Mutex
		cut  chan struct{}
		open []net.Conn
	}

	// lines counts a role's events.
	lines struct {
		mu   sync.Mutex
		text strings.Builder
	}
)

// Write takes one line of a log.
func (l *lines) Write(line []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(line)
}

func (l *lines) count(ev logger.Event) int {
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
	l := &link{listener: listener, target: target, cut: make(chan struct{})}
	go l.serve()
	return l
}

func (l *link) serve() {
	for {
		near, err := l.listener.Accept()
		if err != nil {
			return
		}
		far, err := net.Dial("tcp", l.target)
		if err != nil {
			near.Close()
			continue
		}
		l.mu.Lock()
		l.open = append(l.open, near, far)
		l.mu.Unlock()
		go l.pass(near, far)
		go l.pass(far, near)
	}
}

func (l *link) pass(from, to net.Conn) {
	defer to.Close()
	buf := make([]byte, 4096)
	for {
		n, err := from.Read(buf)
		if err != nil {
			return
		}
		if l.isCut() {
			continue // Silent: neither closed nor moving.
		}
		if _, err := to.Write(buf[:n]); err != nil {
			return
		}
	}
}

func (l *link) isCut() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	select {
	case <-l.cut:
		return true
	default:
		return false
	}
}

// silence cuts the link; mend gives it back, with new connections only.
func (l *link) silence() {
	l.mu.Lock()
	defer l.mu.Unlock()
	close(l.cut)
}

func (l *link) mend() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut = make(chan struct{})
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
	d := &drainSystem{parts: make(map[string]*part), links: make(map[string]*link), lines: make(map[string]*lines)}
	standalone := &Standalone{
		Host: host, BasePort: testBasePort, DataFolder: t.TempDir(), Entries: 2, Engines: 2, Parameters: parameters,
		Log: func(s parser.Settings) *logger.Logger {
			return &logger.Logger{Out: log.NewWithOptions(d.linesOf(s.Name), log.Options{Level: log.DebugLevel})}
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
		d.await(i)
	}
	for i := range 2 {
		d.until("an engine's agent is known", func() bool {
			return d.lines[standalone.agentSettings(i).Name].count(logger.BackendAnnounced) > 0
		})
	}
	return d
}

func (d *drainSystem) linesOf(name string) *lines {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.lines[name] == nil {
		d.lines[name] = &lines{}
	}
	return d.lines[name]
}

func (d *drainSystem) start(name string, run func(ctx context.Context) error) {
	ctx, stop := context.WithCancel(context.Background())
	p := &part{stop: stop, done: make(chan error, 1)}
	d.parts[name] = p
	go func() { p.done <- run(ctx) }()
}

// startRole starts a role whose link to the control host can be cut.
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

// stopPart stops a role as planned and waits for its end.
func (d *drainSystem) stopPart(name string) {
	d.t.Helper()
	p := d.parts[name]
	delete(d.parts, name)
	p.stop()
	if err := <-p.done; err != nil {
		d.t.Errorf("%s ended with %v", name, err)
	}
}

func (d *drainSystem) endAll() {
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

// until waits for a condition.
func (d *drainSystem) until(what string, condition func() bool) {
	d.t.Helper()
	for deadline := time.Now().Add(waitLimit); !condition(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			d.t.Fatalf("waited in vain until %s", what)
		}
	}
}

func (d *drainSystem) mark(server string, replaces uint64, leaving bool) {
	d.t.Helper()
	operator := &requester.Requester{Addresses: []string{d.OperatorAddress()}, Key: DemoOperatorKey}
	if _, err := operator.Mark(context.Background(), server, responder.MarkRequest{Replaces: replaces, Leaving: leaving}); err != nil {
		d.t.Fatalf("mark of %s: %v", server, err)
	}
}

// load sends n short generations through both entries; all have to be answered.
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

// TestDrain empties a backend server while its agent and an entry can't hear
// control, restarts the agent in the middle, and has the server return.
func TestDrain(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	d := startDrainSystem(t, testHost(3))
	defer d.endAll()
	want := d.expected(700)
	resp := d.open(len(want))
	events := newEventReader(resp.Body)
	got, last, _ := readTokens(t, events, 10)
	leaving, stays := 0, 1
	if strings.Contains(last, "@engine-2/") {
		leaving, stays = 1, 0
	}
	server, other := fmt.Sprintf("engine-%d", leaving+1), fmt.Sprintf("engine-%d", stays+1)
	log := d.linesOf(server)

	d.links[server].silence()
	d.links["entry-2"].silence()
	d.mark(server, 0, true)
	d.until("the agent took the mark", func() bool { return log.count(logger.MarkApplied) == 1 })
	admitted := log.count(logger.WorkAdmitted)
	d.load(40)
	if n := log.count(logger.WorkAdmitted) - admitted; n != 0 {
		t.Errorf("%d new generations reached the backend server that is leaving", n)
	}
	d.links["entry-2"].mend()
	d.links[server].mend()

	rest, _, whole := readTokens(t, events, 0)
	resp.Body.Close()
	if !whole {
		t.Error("the stream that was in progress did not end whole")
	}
	d.equal(append(got, rest...), want)

	announced := log.count(logger.BackendAnnounced)
	d.stopPart(server)
	d.startRole(d.agentSettings(leaving))
	d.until("the backend server announced itself to the restarted agent", func() bool { return log.count(logger.BackendAnnounced) > announced })
	d.until("the restarted agent knows the mark", func() bool { return log.count(logger.MarkApplied) == 2 })
	d.load(40)
	if n := log.count(logger.WorkAdmitted) - admitted; n != 0 {
		t.Errorf("%d new generations reached the backend server after its agent restarted", n)
	}

	d.mark(server, 1, false)
	d.until("the agent knows that the server returned", func() bool { return log.count(logger.MarkApplied) == 3 })
	d.until("the returned server gets work", func() bool {
		return openStreams(t, d, log, d.linesOf(other)) > 0
	})
}

// openStreams opens many streams at once on one entry, just after a return, and
// tells how many the returned server got: at first far fewer than its peer.
func openStreams(t *testing.T, d *drainSystem, returned, peer *lines) int {
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
	defer d.endAll()
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
