// Package prober finds engines that are about to leave and whose notice went to a host that was
// lost: an engine repeats its notice only after timeouts that take up most of the time it has left.
package prober

import (
	"context"
	"sync"
	"time"

	"verbenareach/internal/event/logger"
	"verbenareach/internal/wire/messenger"
)

// Prober asks the engines that reported to a lost host for their state. Its exported fields are
// set before first use; it is safe for concurrent use.
type Prober struct {
	// Self is the name of this host.
	Self string
	// Reports returns the newest report of every backend server, Linked the hosts to which a link
	// is up.
	Reports func() []*messenger.Backend
	Linked  func() []*messenger.FleetHost
	// IsEngine reports whether the backend servers of a service are engines.
	IsEngine func(service string) bool
	// IsPaused reports whether an engine has asked this host for a pause.
	IsPaused func(now time.Time, b *messenger.Backend) bool
	// Leaving asks the engine at address whether it is about to leave.
	Leaving func(ctx context.Context, address string) (bool, error)
	// OnLeaving is called with the id of each engine that is.
	OnLeaving func(now time.Time, id string)
	Log       *logger.Logger

	mu sync.Mutex
	// nextProbe holds the time before which an engine is not asked again, by id.
	nextProbe map[string]time.Time
}

const (
	// probeInterval is the time between two probes of an engine whose keeper is lost.
	probeInterval = 500 * time.Millisecond
	// probeTimeout bounds a probe.
	probeTimeout = 400 * time.Millisecond
	// maxProbes bounds the probes that one call of Advance starts.
	maxProbes = 32
)

// Advance starts the probes that are due and returns without waiting for them.
func (p *Prober) Advance(ctx context.Context, now time.Time) {
	for _, r := range p.due(now) {
		go p.probe(ctx, r)
	}
}

// due returns the ready engines whose keeper is neither this host nor linked, at most maxProbes.
func (p *Prober) due(now time.Time) (due []*messenger.Backend) {
	keepers := map[string]bool{p.Self: true}
	for _, h := range p.Linked() {
		keepers[h.Name] = true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	next := make(map[string]time.Time)
	for _, r := range p.Reports() {
		if r.State != messenger.Backend_STATE_READY || keepers[r.Keeper] || !p.IsEngine(r.Service) {
			continue
		}
		if p.IsPaused(now, r) {
			continue
		}
		next[r.Id] = p.nextProbe[r.Id]
		if now.Before(next[r.Id]) || len(due) >= maxProbes {
			continue
		}
		next[r.Id] = now.Add(probeInterval)
		due = append(due, r)
	}
	p.nextProbe = next
	return due
}

func (p *Prober) probe(ctx context.Context, r *messenger.Backend) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	leaving, err := p.Leaving(ctx, r.Address)
	now := time.Now()
	p.Log.Emit(now, logger.FleetEngineProbed, "", logger.F("backend", r.Id), logger.F("keeper", r.Keeper),
		logger.F("leaving", leaving), logger.F("error", err))
	if err == nil && leaving {
		p.OnLeaving(now, r.Id)
	}
}
