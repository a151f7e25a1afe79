package linker

import (
	"cmp"
	"context"
	"slices"
	"time"

	"verbenareach/internal/wire/messenger"
)

// founding is the decision on who founds the replicated log.
type founding struct {
	// candidates holds the hubs that introduced themselves, by name. The last one was added
	// at lastAdded; the first introduction of any host was at started.
	candidates map[string]*messenger.FleetHost
	lastAdded  time.Time
	started    time.Time
	// founders is empty until the decision; it does not change afterwards.
	founders []*messenger.FleetHost
}

const (
	// founderQuietPeriod is how long no further hub may have been added before the founders
	// are decided.
	founderQuietPeriod = 500 * time.Millisecond
	// minFoundersTimeout is how long to wait for MinFounders hubs before fewer are accepted.
	minFoundersTimeout = 6 * time.Second
)

// AwaitFounders returns the hubs that found the replicated log at the first start of the
// fleet. It blocks until they are decided or ctx ends.
func (l *Linker) AwaitFounders(ctx context.Context) ([]*messenger.FleetHost, error) {
	for {
		founders := l.requestFounders(ctx)
		if len(founders) > 0 {
			return founders, nil
		}
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-time.After(introduceInterval):
		}
	}
}

// requestFounders requests the founders from the seeds and stores them. It returns nil if no
// seed named any. On the host that decides, it returns its own decision.
func (l *Linker) requestFounders(ctx context.Context) (founders []*messenger.FleetHost) {
	req := &messenger.IntroduceRequest{Host: l.Self, Bootstrap: l.Bootstrap}
	if l.decidesFounders() {
		return l.HandleIntroduction(time.Now(), req).Founders
	}
	// The first seed decides. The others are called as well, as they may have stored its
	// decision before it became unreachable.
	for _, seed := range l.sortedSeeds() {
		// A seed that does not respond is called again in the next round.
		_ = l.Call(ctx, seed, func(ctx context.Context, c messenger.DRPCFleetClient) error {
			reply, err := c.Introduce(ctx, req)
			founders = reply.GetFounders()
			return err
		})
		if len(founders) > 0 {
			l.mu.Lock()
			l.founding.founders = founders
			l.mu.Unlock()
			return founders
		}
	}
	return nil
}

// decidesFounders reports whether this host decides who founds the replicated log. The first
// of the sorted seeds decides, at the first start of the fleet.
func (l *Linker) decidesFounders() bool {
	seeds := l.sortedSeeds()
	return l.Bootstrap && len(seeds) > 0 && seeds[0] == l.Self.Address
}

// addCandidate adds the host to the candidates if it is a hub. It decides on the founders
// once there are enough candidates and none was added for founderQuietPeriod.
func (l *Linker) addCandidate(now time.Time, host *messenger.FleetHost) {
	l.mu.Lock()
	defer l.mu.Unlock()
	g := &l.founding
	if len(g.founders) > 0 {
		return
	}
	if g.candidates == nil {
		g.candidates, g.started, g.lastAdded = make(map[string]*messenger.FleetHost), now, now
	}
	if host.Hub && g.candidates[host.Name] == nil {
		g.candidates[host.Name] = host
		g.lastAdded = now
	}
	enough := len(g.candidates) >= l.MinFounders || now.Sub(g.started) > minFoundersTimeout
	if len(g.candidates) == 0 || !enough || now.Sub(g.lastAdded) < founderQuietPeriod {
		return
	}
	for _, h := range g.candidates {
		g.founders = append(g.founders, h)
	}
	slices.SortFunc(g.founders, func(a, b *messenger.FleetHost) int { return cmp.Compare(a.Name, b.Name) })
}
