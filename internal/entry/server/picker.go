package server

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"verbenareach/internal/control/registrar"
	"verbenareach/internal/entry/booker"
	"verbenareach/internal/entry/relayer"
	"verbenareach/internal/wire/messenger"
)

const (
	pickPause = 50 * time.Millisecond
)

var (
	errNoServer = errors.New("no backend server took the request in time")
)

type (
	// Picker chooses backend servers by the least outstanding work that this entry
	// has there. Its exported field is set before first use.
	Picker struct {
		View func() registrar.View

		mu sync.Mutex
		// outstanding counts this entry's unfinished work by backend server.
		outstanding map[string]int
	}
)

// ChooseEngine returns an engine's agent for a generation.
func (p *Picker) ChooseEngine(ctx context.Context, _ time.Time, start *messenger.GenerateStart, avoid []relayer.Target, deadline time.Time) (relayer.Target, error) {
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	avoided := make(map[string]bool, len(avoid))
	for _, t := range avoid {
		avoided[t.Server] = true
	}
	m, err := p.choose(ctx, avoided, func(m registrar.Member) bool {
		return m.Backend.Kind == registrar.BackendEngine && m.Backend.Serves(start.GetModel(), start.GetAdapter(), start.GetVersion())
	})
	return relayer.Target{Server: m.Name, Address: m.Address, Incarnation: m.Incarnation}, err
}

// ChooseService returns a plain service's agent for a call.
func (p *Picker) ChooseService(ctx context.Context, _ time.Time, service string, avoid []booker.Target) (booker.Target, error) {
	avoided := make(map[string]bool, len(avoid))
	for _, t := range avoid {
		avoided[t.Server] = true
	}
	m, err := p.choose(ctx, avoided, func(m registrar.Member) bool {
		return m.Backend.Kind == registrar.BackendService && m.Backend.Service == service
	})
	return booker.Target{Server: m.Name, Address: m.Address, Incarnation: m.Incarnation}, err
}

// ReportCall notes that a call is done.
func (p *Picker) ReportCall(_ time.Time, target booker.Target, _ bool) {
	p.left(target.Server)
}

// ReportGeneration notes that an attempt is done.
func (p *Picker) ReportGeneration(_ time.Time, target relayer.Target, _ relayer.Outcome) {
	p.left(target.Server)
}

func (p *Picker) left(server string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.outstanding[server]--
}

// choose waits for a member that fits. One that is to be avoided is taken only
// after a pause with no other.
func (p *Picker) choose(ctx context.Context, avoided map[string]bool, fits func(registrar.Member) bool) (registrar.Member, error) {
	for round := 0; ; round++ {
		if m, ok := p.best(avoided, round > 0, fits); ok {
			return m, nil
		}
		timer := time.NewTimer(pickPause + rand.N(pickPause))
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return registrar.Member{}, errNoServer
		}
	}
}

func (p *Picker) best(avoided map[string]bool, evenAvoided bool, fits func(registrar.Member) bool) (registrar.Member, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	view := p.View()
	var best registrar.Member
	least, found := 0, false
	view.EachMember(func(m registrar.Member) {
		if !fits(m) || view.Mark(m.Name).Leaving || avoided[m.Name] && !evenAvoided {
			return
		}
		if n := p.outstanding[m.Name]; !found || n < least {
			best, least, found = m, n, true
		}
	})
	if !found {
		return best, false
	}
	if p.outstanding == nil {
		p.outstanding = make(map[string]int)
	}
	p.outstanding[best.Name]++
	return best, true
}
