package placer

import (
	"context"
	"slices"
	"time"

	"verbenareach/internal/control/registrar"
	"verbenareach/internal/entry/booker"
	"verbenareach/internal/entry/queuer"
)

// ChooseService waits for a plain service's backend server with the least of
// this entry's unfinished calls, and counts a call there. One that is to be avoided
// comes only where there is no other.
func (p *Placer) ChooseService(ctx context.Context, now time.Time, service string, avoid []booker.Target) (booker.Target, error) {
	p.follow(now)
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
		p.uncount(target.Server)
		return booker.Target{}, ctx.Err()
	}
	return target, err
}

// ReportCall notes that a call is done, and whether it was answered.
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
		p.note(now, target.Server, p.Ejector.Succeed(now, group, target.Server, 0))
		return
	}
	s.closedUntil = now.Add(awayPause)
	p.note(now, target.Server, p.Ejector.Fail(now, group, target.Server))
}

func (p *Placer) placeCall(now time.Time, service string, avoid []booker.Target) (booker.Target, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	has := func(m registrar.Member) bool {
		return m.Backend.Kind == registrar.BackendService && m.Backend.Service == service
	}
	var best *server
	avoided := false
	for name, s := range p.servers {
		if !has(s.member) || !p.usable(now, s) || !p.withinSlowStart(now, s, has) {
			continue
		}
		toAvoid := slices.ContainsFunc(avoid, func(t booker.Target) bool { return t.Server == name })
		better := best == nil || avoided && !toAvoid || avoided == toAvoid && s.outstanding < best.outstanding
		if better && (best == nil || avoided || !toAvoid) {
			best, avoided = s, toAvoid
		}
	}
	if best == nil {
		return booker.Target{}, false
	}
	best.outstanding++
	return booker.Target{Server: best.member.Name, Address: best.member.Address, Incarnation: best.member.Incarnation}, true
}

func (p *Placer) uncount(name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s := p.servers[name]; s != nil {
		s.outstanding = max(0, s.outstanding-1)
	}
}
