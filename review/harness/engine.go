package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

type (
	// engine is a stand-in for a model engine. It makes events of tokensPerEvent tokens at a steady pace, keeps
	// backups of the runs of other engines, and goes on with such a run after the last event that is named.
	engine struct {
		fleet   *fleet
		backend *backend
		id      string
		// others holds all engines of the service.
		others []*engine
		// spoil decides how the answer to a request is spoiled, if at all.
		spoil func(e *engine, r *http.Request) spoiling

		mu   sync.Mutex
		runs []*engineRun
	}

	// engineRun is one request on one engine.
	engineRun struct {
		engine, request string
		// backup is the address of the engine that gets a copy of the memory as it grows; empty for none.
		backup                string
		continued             bool
		reached, begun, ended time.Time
		events                int
		// stop is closed when a move ends the run here.
		stop chan struct{}
	}

	// copies holds the handles of the runs that were moved, by handle; a handle is used once.
	copies struct {
		mu   sync.Mutex
		next int
		runs map[string]string
	}

	spoiling int
)

const (
	notSpoiled spoiling = iota
	// answerLost means that the request is run and nothing of its answer arrives.
	answerLost
	// signatureLost means that the answer comes without its signature.
	signatureLost

	tokensPerEvent = 4
	eventInterval  = 40 * time.Millisecond
	prefillTime    = 100 * time.Millisecond
)

// startEngine starts an engine of the service llm.
func startEngine(f *fleet, id, zone string) (*engine, error) {
	e := &engine{fleet: f, id: id}
	b, err := startBackend(f, id, "llm", zone, 32, e.handle)
	if err != nil {
		return nil, err
	}
	e.backend = b
	return e, nil
}

func startEngines(f *fleet, n int) ([]*engine, error) {
	var list []*engine
	for i := range n {
		e, err := startEngine(f, fmt.Sprintf("i-e%d", i+1), zones[i%len(zones)])
		if err != nil {
			return nil, err
		}
		list = append(list, e)
	}
	for _, e := range list {
		e.others = list
	}
	return list, nil
}

func (e *engine) handle(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.Method == http.MethodGet && r.URL.Path == fields.ReportCall:
		w.Header().Set("Content-Type", "application/json")
		_, _ = io.WriteString(w, render("engine-report.json.tmpl", map[string]any{"State": e.state(), "Active": e.active()}))
	case strings.HasPrefix(r.URL.Path, "/draft/"):
		e.generate(w, r)
	case r.Method == http.MethodPost && r.URL.Path == fields.MoveCall:
		e.move(w, r)
	default:
		w.WriteHeader(http.StatusOK)
	}
}

// move hands out a handle for a copy of a run's memory, and stops the run if the call says so.
func (e *engine) move(w http.ResponseWriter, r *http.Request) {
	var body map[string]any
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	id, _ := body[fields.MoveRun].(string)
	to, _ := body[fields.MoveTo].(string)
	last, _ := body[fields.MoveLast].(bool)
	run := e.find(func(run *engineRun) bool { return run.request == id && run.ended.IsZero() && !run.begun.IsZero() })
	if run == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	conn, err := net.DialTimeout("tcp", to, time.Second)
	if err != nil {
		// The destination can't be reached.
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	_ = conn.Close()
	if last {
		close(run.stop)
	}
	handle := moved.add(id)
	e.fleet.record.add("%s copies %s to %s, last %v", e.id, id, to, last)
	w.Header().Set("Content-Type", "application/json")
	_, _ = io.WriteString(w, render("move-reply.json.tmpl", map[string]any{"Handle": handle, "Made": run.events}))
}

// moved holds the copies of all engines of this process.
var moved = &copies{runs: make(map[string]string)}

func (c *copies) add(run string) (handle string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.next++
	handle = fmt.Sprintf("h%d", c.next)
	c.runs[handle] = run
	return handle
}

// take uses up a handle and reports whether it was that of a run.
func (c *copies) take(handle, run string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	known := c.runs[handle] == run
	delete(c.runs, handle)
	return known
}

// find returns the newest run here for which match returns true; nil if there is none.
func (e *engine) find(match func(run *engineRun) bool) *engineRun {
	e.mu.Lock()
	defer e.mu.Unlock()
	for i := len(e.runs) - 1; i >= 0; i-- {
		if match(e.runs[i]) {
			return e.runs[i]
		}
	}
	return nil
}

// holdsCopy reports whether this engine can go on with a run from the memory that the request names.
func (e *engine) holdsCopy(source, run string) bool {
	address, name, _ := strings.Cut(source, "/")
	if address != e.backend.address {
		return moved.take(name, run)
	}
	for _, other := range e.others {
		copied := other.find(func(r *engineRun) bool { return r.request == run && r.backup == e.backend.address && r.events > 0 })
		if copied != nil {
			return true
		}
	}
	return moved.take(name, run)
}

func (e *engine) state() string {
	e.backend.mu.Lock()
	defer e.backend.mu.Unlock()
	return e.backend.state
}

// generate runs a request until its last event is made or its connection is closed.
func (e *engine) generate(w http.ResponseWriter, r *http.Request) {
	// The end of the connection is seen only once the body was read.
	_, _ = io.Copy(io.Discard, r.Body)
	source := r.Header.Get(fields.Continue)
	run := &engineRun{
		engine: e.id, request: r.Header.Get(fields.RequestID), backup: r.Header.Get(fields.Backup), reached: time.Now(), continued: source != "",
		stop: make(chan struct{}),
	}
	if run.continued && !e.holdsCopy(source, run.request) {
		w.Header().Set(fields.NotRun, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	e.mu.Lock()
	e.runs = append(e.runs, run)
	e.mu.Unlock()
	last, _ := strconv.Atoi(r.Header.Get(fields.LastEvent))
	e.fleet.record.add("%s gets %s, backup %q, continued %v after event %d", e.id, run.request, run.backup, run.continued, last)
	if !run.continued {
		time.Sleep(prefillTime)
	}
	_, output, _ := strings.Cut(r.Header.Get(fields.Usage), ",")
	tokens, _ := strconv.Atoi(output)
	how := notSpoiled
	if e.spoil != nil {
		how = e.spoil(e, r)
	}
	if how != signatureLost {
		sign(w, e.id)
	}
	w.Header().Set("Content-Type", "text/event-stream")
	e.set(func() { run.begun = time.Now() })
	e.fleet.record.add("%s runs %s", e.id, run.request)
	total := tokens / tokensPerEvent
	for n := last + 1; n <= total; n++ {
		select {
		case <-r.Context().Done():
			e.finish(run, "stops work on")
			return
		case <-run.stop:
			e.finish(run, "stops for a move")
			// The connection is closed without the end of the stream.
			panic(http.ErrAbortHandler)
		case <-time.After(eventInterval):
		}
		e.set(func() { run.events++ })
		if how == answerLost {
			continue
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s of %s by %s\n\n", n, strconv.Itoa(n), run.request, e.id); err != nil {
			e.finish(run, "stops work on")
			return
		}
		_ = http.NewResponseController(w).Flush()
	}
	e.finish(run, "has ended")
}

func (e *engine) finish(run *engineRun, what string) {
	e.set(func() { run.ended = time.Now() })
	e.fleet.record.add("%s %s %s after %d events", e.id, what, run.request, run.events)
}

func (e *engine) set(change func()) {
	e.mu.Lock()
	defer e.mu.Unlock()
	change()
}

func (e *engine) active() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	n := 0
	for _, r := range e.runs {
		if r.ended.IsZero() {
			n++
		}
	}
	return n
}

// served returns how many requests have reached the engine.
func (e *engine) served() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.runs)
}

// generation sends one generation and records how it ended.
func generation(c *http.Client, f *fleet, h *host, tokens int) answer {
	id := newID()
	f.record.add("client sends %s to %s, %d tokens", id, h.name, tokens)
	got := send(c, f, h, request{
		id: id, method: http.MethodPost, path: "/draft/1", key: clientKey, body: "draft", timeout: 39 * time.Second, extra: generationFields(id, 400, tokens),
	})
	f.record.add("client gets %d for %s, signed %v, whole %v, %d events", got.status, id, got.header.Get(fields.Signature) != "", got.whole, strings.Count(got.body, "\n\n"))
	return got
}
