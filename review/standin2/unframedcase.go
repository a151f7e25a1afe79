package main

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"
)

type (
	// engine is a stand-in for an engine.
	engine struct {
		id, address string
		process     *process
	}

	// draft is a generation with what its client got.
	draft struct {
		id  string
		end streamEnd
	}
)

const (
	// engines is the number of servers, streams that of generations, streamEvents that of the events of each.
	engines      = 9
	streams      = 18
	streamEvents = 60
	// eventsBefore is how many events the clients have before the disruption.
	eventsBefore = 12
	// freezeTime is how long the host stands still, killAfter how long after its stop the server is killed, and
	// serverDown how long no process listens at the server's address then.
	freezeTime = 3 * time.Second
	killAfter  = 300 * time.Millisecond
	serverDown = 1500 * time.Millisecond
	// knownTime is how long the hosts may take to know the servers.
	knownTime = 3 * time.Second
)

// unframedCase has servers answer generations with streams that have neither a length nor chunks. While the host that
// forwards them stands still, one of the servers crashes and starts again. No stream may end as complete before its
// last event.
func unframedCase(c *caseRun) (broken string, err error) {
	if err := c.fleet.start(); err != nil {
		return "", err
	}
	options := []string{"-unframed", "-events", fmt.Sprint(streamEvents)}
	var list []*engine
	for range engines {
		e := &engine{}
		if e.address, err = freeAddress(); err != nil {
			return "", err
		}
		if e.id, e.process, err = c.fleet.startServer("writer", e.address, options...); err != nil {
			return "", err
		}
		list = append(list, e)
	}
	time.Sleep(knownTime)
	front := c.fleet.hosts[len(c.fleet.hosts)-1]
	drafts := make([]draft, streams)
	var clients, begun sync.WaitGroup
	begun.Add(streams)
	for i := range drafts {
		clients.Go(func() { drafts[i] = c.sendDraft(front, i, begun.Done) })
	}
	begun.Wait()
	if c.trouble {
		if err := c.crashBehindFreeze(front, list, options); err != nil {
			return "", err
		}
	}
	clients.Wait()
	return judgeDrafts(drafts, c.trouble)
}

// sendDraft sends a generation and reads its answer. begun is called once it has begun, or ended before.
func (c *caseRun) sendDraft(h *host, i int, begun func()) draft {
	var once sync.Once
	d := draft{id: fmt.Sprintf("9c41d07be2a3%04x", i)}
	r := request{
		id: d.id, method: "POST", path: fmt.Sprintf("/draft/%d", i), key: apiKey, body: "draft a rota\n",
		within: 39 * time.Second, tokens: "329,300", prompt: fmt.Sprintf("5c1e07a2:79,91bd3f%02x:250", i),
	}
	d.end = c.readStream(h, r, func(n int) {
		if n == eventsBefore {
			once.Do(begun)
		}
	})
	once.Do(begun)
	return d
}

// crashBehindFreeze stops a host, kills the engine with most generations and starts it again at its address, and lets
// the host go on.
func (c *caseRun) crashBehindFreeze(h *host, list []*engine, options []string) error {
	e, err := c.busiest(list)
	if err != nil {
		return err
	}
	h.signal(syscall.SIGSTOP)
	frozen := time.Now()
	c.record.add("host stands still", "host", h.name)
	time.Sleep(killAfter)
	e.process.kill()
	c.record.add("server killed", "server", e.id, "address", e.address)
	time.Sleep(serverDown)
	_, _, err = c.fleet.startServer("writer", e.address, options...)
	time.Sleep(freezeTime - time.Since(frozen))
	h.signal(syscall.SIGCONT)
	c.record.add("host goes on", "host", h.name)
	return err
}

// busiest returns the engine that runs most generations.
func (c *caseRun) busiest(list []*engine) (*engine, error) {
	entries, err := c.record.entries()
	if err != nil {
		return nil, err
	}
	runs := make(map[string]int)
	for _, e := range entries {
		if e.What == "runs" {
			runs[e.Fields["server"]]++
		}
	}
	return slices.MaxFunc(list, func(a, b *engine) int { return runs[a.id] - runs[b.id] }), nil
}

// judgeDrafts checks what the clients got.
func judgeDrafts(drafts []draft, trouble bool) (broken string, err error) {
	short := 0
	for _, d := range drafts {
		switch {
		case d.end.status != http.StatusOK || d.end.events < eventsBefore:
			return "", fmt.Errorf("generation %s did not begin: status %d: %w", d.id, d.end.status, d.end.err)
		case d.end.whole && d.end.events < streamEvents:
			short++
		case !trouble && !d.end.whole:
			return "", fmt.Errorf("without a disruption, generation %s ended early: %w", d.id, d.end.err)
		}
	}
	if short > 0 {
		broken = fmt.Sprintf("%d of %d streams ended as complete before their last event", short, len(drafts))
	}
	return broken, nil
}
