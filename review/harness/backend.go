package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// backend is a stand-in for a backend server: it reports its state and serves requests.
type backend struct {
	fleet          *fleet
	id, service    string
	zone, address  string
	slots          int
	born, sequence int64
	server         *http.Server

	mu    sync.Mutex
	state string
	// reportTo is the address that an acknowledgement named for the next reports; empty if none did.
	reportTo string
	// silent is closed once no more reports are sent.
	silent chan struct{}
}

const (
	stateReady    = "ready"
	stateDraining = "draining"
	heartbeat     = 1200 * time.Millisecond
)

// startBackend starts a stand-in that serves with handle the requests that are addressed to it.
func startBackend(f *fleet, id, service, zone string, slots int, handle http.HandlerFunc) (*backend, error) {
	l, err := net.Listen("tcp", f.freeIP()+":0")
	if err != nil {
		return nil, err
	}
	b := &backend{
		fleet: f, id: id, service: service, zone: zone, address: l.Addr().String(), slots: slots,
		born: time.Now().UnixMilli(), state: stateReady, silent: make(chan struct{}),
	}
	b.server = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { b.serve(w, r, handle) })}
	go func() { _ = b.server.Serve(l) }()
	go b.reportForever()
	return b, nil
}

// serve answers a request that is addressed to another backend server as such a one does.
func (b *backend) serve(w http.ResponseWriter, r *http.Request, handle http.HandlerFunc) {
	w.Header().Set(fields.RequestID, r.Header.Get(fields.RequestID))
	if expected := r.Header.Get(fields.Expect); expected != "" && expected != b.id {
		w.Header().Set(fields.NotRun, "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	handle(w, r)
}

// reportForever reports the state at each heartbeat until the stand-in is silent.
func (b *backend) reportForever() {
	for {
		b.report()
		select {
		case <-b.silent:
			return
		case <-time.After(heartbeat):
		}
	}
}

// report sends one report to one host after another until it is acknowledged, and returns the host that
// did; nil if none did.
func (b *backend) report() *host {
	b.mu.Lock()
	defer b.mu.Unlock()
	targets := make([]string, 0, len(b.fleet.hosts)+1)
	if b.reportTo != "" {
		targets = append(targets, b.reportTo)
	}
	for _, h := range b.fleet.hosts {
		targets = append(targets, b.fleet.address(h, controlPort))
	}
	for _, target := range targets {
		b.sequence++
		status, answer := callControl(target, http.MethodPut, "/instances/"+b.id, b.reportBody())
		if status/100 != 2 {
			b.reportTo = ""
			continue
		}
		b.reportTo = target
		var ack map[string]string
		if json.Unmarshal([]byte(answer), &ack) == nil {
			for _, address := range ack {
				b.reportTo = address
			}
		}
		for _, h := range b.fleet.hosts {
			if b.fleet.address(h, controlPort) == target {
				return h
			}
		}
	}
	return nil
}

// reportBody returns the body of a report with the present state and sequence. The lock is held.
func (b *backend) reportBody() string {
	return render("report.json.tmpl", map[string]any{
		"Service": b.service, "Address": b.address, "Zone": b.zone, "Slots": b.slots, "State": b.state, "Sequence": b.sequence, "Born": b.born,
	})
}

// drain reports that the stand-in leaves, and returns once that was acknowledged.
func (b *backend) drain() error {
	b.mu.Lock()
	b.state = stateDraining
	b.mu.Unlock()
	h := b.report()
	if h == nil {
		return fmt.Errorf("%s: leaving is not acknowledged", b.id)
	}
	b.fleet.record.add("%s: draining acknowledged by %s", b.id, h.name)
	return nil
}

// end ends the stand-in: its connections break, and it reports nothing any more.
func (b *backend) end() {
	b.fleet.record.add("%s ends", b.id)
	select {
	case <-b.silent:
	default:
		close(b.silent)
	}
	_ = b.server.Close()
}

// sign marks a response as this stand-in's.
func sign(w http.ResponseWriter, id string) { w.Header().Set(fields.Signature, "signed-by-"+id) }
