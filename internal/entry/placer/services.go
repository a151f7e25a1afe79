package placer

import (
	"context"
	"slices"
	"time"

	"verbenareach/internal/control/registrar"
	"verbenareach/internal/entry/booker"
	"verbenareach/internal/entry/queuer"
)

// ChooseService waits for a usable backend server of a plain service, takes the one with
// the fewest unfinished calls of this entry, and counts a call there until ReportCall. One
// in avoid is chosen only if there is no other. It fails with a queuer.RefusedError, or with
// ctx's error. Calls of all workspaces share one flow of the queue.
func (p *Placer) ChooseService(ctx context.Context, now time.Time, service string, avoid []booker.Target) (booker.Target, error) {
	p.updateView(now)
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = now.Add(time.Hour)
	}
	var target booker.Target
	err := p.Queue.Wait(ctx, now, queuer.Request{
		Class:    serviceGroup(service),
		Cost:     1,
		Deadline: deadline,
		Place: func(now time.Time) queuer.Verdict {
			chosen, ok := p.placeCall(now, service, avoid)
			target = chosen
			if !ok {
				return queuer.NoServer
			}
			return queuer.Placed
		},
	})
	if err == nil && ctx.Err() != nil {
		p.ReleaseCall(target)
		return booker.Target{}, ctx.Err()
	}
	return target, err
}

// ReportCall records the end of a call that ChooseService counted, and whether it was
// answered. The time of the answer isn't measured, so services are never ejected as slow.
func (p *Placer) ReportCall(now time.Time, target booker.Target, answered bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.servers[target.Server]
	if s == nil {
		return
	}
	s.outstanding = max(0, s.outstanding-1)
	group := serviceGroup(s.member.Backend.Service)
	if answered {
		p.logEjection(now, target.Server, p.Ejector.RecordSuccess(now, group, target.Server, 0))
		return
	}
	s.backoffUntil = now.Add(failureBackoff)
	p.logEjection(now, target.Server, p.Ejector.RecordFailure(now, group, target.Server))
}

// placeCall chooses a backend server for a call and counts the call there. It returns false
// if none may get it now.
func (p *Placer) placeCall(now time.Time, service string, avoid []booker.Target) (booker.Target, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	offers := func(m registrar.Member) bool {
		return m.Backend.Kind == registrar.BackendService && m.Backend.Service == service
	}
	var best *server
	bestAvoided := false
	for name, s := range p.servers {
		if !offers(s.member) || !p.usable(now, s) || !p.withinSlowStart(now, s, offers) {
			continue
		}
		avoided := slices.ContainsFunc(avoid, func(t booker.Target) bool { return t.Server == name })
		better := best == nil || bestAvoided && !avoided || bestAvoided == avoided && s.outstanding < best.outstanding
		if better && (best == nil || bestAvoided || !avoided) {
			best, bestAvoided = s, avoided
		}
	}
	if best == nil {
		return booker.Target{}, false
	}
	best.outstanding++
	return booker.Target{Server: best.member.Name, Address: best.member.Address, Incarnation: best.member.Incarnation}, true
}

// ReleaseCall ends the count of a call that was not sent to the target that ChooseService chose.
func (p *Placer) ReleaseCall(target booker.Target) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s := p.servers[target.Server]; s != nil {
		s.outstanding = max(0, s.outstanding-1)
	}
}
