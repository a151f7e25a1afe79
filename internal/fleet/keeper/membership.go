package keeper

import (
	"context"
	"slices"
	"time"

	"verbenareach/internal/control/replicator"
	"verbenareach/internal/event/logger"
	"verbenareach/internal/wire/messenger"
)

type (
	// planner chooses the next change of the membership. It does no I/O.
	planner struct {
		// self is the name of this hub, which leads.
		self string
		// minVoters is the least number of voters: enough for a majority to be left after the
		// losses to tolerate, which are half of it.
		minVoters int
		// silentSince holds the time since which each silent member has not answered, by identity.
		silentSince map[string]time.Time
		// retryAfter holds the time before which a failed change is not retried, by hub name or
		// identity.
		retryAfter map[string]time.Time
	}

	// memberChange is one change of the membership: a hub to add, or an identity to remove.
	memberChange struct {
		add    *messenger.FleetHost
		remove string
	}
)

const (
	// checkInterval is the pause between checks of the membership.
	checkInterval = 250 * time.Millisecond
	// removeAfter is how long a voter must be silent before it is removed. A host that merely
	// restarts is back sooner.
	removeAfter = 5 * time.Second
	// urgentRemoveAfter replaces removeAfter while the silent voter lowers the number of
	// further losses that are tolerated below the one required.
	urgentRemoveAfter = time.Second
	// retryDelay is the wait after a change failed.
	retryDelay = 2 * time.Second
	// changeTimeout bounds one change of the membership.
	changeTimeout = 8 * time.Second
)

// manage adapts the membership to the linked hubs while this hub leads.
func (k *Keeper) manage(ctx context.Context, r *replicator.Replicator) {
	p := &planner{self: k.Self.Name, minVoters: k.MinVoters}
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(checkInterval):
		}
		s := r.Status()
		if s.Role != "leader" {
			p.silentSince = nil
			continue
		}
		next := p.next(time.Now(), s.Members, k.Candidates())
		if next.add != nil || next.remove != "" {
			k.change(ctx, r, p, next)
		}
	}
}

// change makes one change of the membership.
func (k *Keeper) change(ctx context.Context, r *replicator.Replicator, p *planner, next memberChange) {
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	name := next.remove
	var err error
	if next.add != nil {
		name = next.add.Name
		err = r.Add(ctx, replicator.Peer{Name: name, Address: next.add.Address})
	} else {
		err = r.Remove(ctx, name)
	}
	if err != nil {
		p.postpone(time.Now(), name)
	}
	k.Log.Emit(time.Now(), logger.FleetMemberChanged, "", logger.F("host", name), logger.F("added", next.add != nil),
		logger.F("error", err))
}

// next returns the change that is due: linked hubs are added as voters, and a voter that has
// been silent for too long is removed if enough others answer.
func (p *planner) next(now time.Time, members []replicator.MemberStatus, candidates []*messenger.FleetHost) memberChange {
	p.observe(now, members)
	for _, h := range candidates {
		if !votes(members, h.Name) && !now.Before(p.retryAfter[h.Name]) {
			return memberChange{add: h}
		}
	}
	removeDelay := removeAfter
	if p.lowersTolerance(members) {
		removeDelay = urgentRemoveAfter
	}
	voters, alive := 0, 0
	oldest := ""
	for _, m := range members {
		if !m.Voter {
			continue
		}
		voters++
		since, silent := p.silentSince[m.ID]
		if !silent {
			alive++
			continue
		}
		if now.Sub(since) >= removeDelay && (oldest == "" || since.Before(p.silentSince[oldest])) {
			oldest = m.ID
		}
	}
	if voters > p.minVoters && alive >= p.minVoters && !now.Before(p.retryAfter[oldest]) {
		return memberChange{remove: oldest}
	}
	return memberChange{}
}

// lowersTolerance reports whether the voters that answer can tolerate fewer losses than
// required, and could tolerate more if a silent voter were removed.
func (p *planner) lowersTolerance(members []replicator.MemberStatus) bool {
	voters, alive := 0, 0
	for _, m := range members {
		if !m.Voter {
			continue
		}
		voters++
		if m.Alive || m.Name == p.self {
			alive++
		}
	}
	tolerated := func(voters int) int { return alive - (voters/2 + 1) }
	return alive < voters && tolerated(voters) < p.minVoters/2 && tolerated(voters-1) > tolerated(voters)
}

// observe updates the times since which members have not answered.
func (p *planner) observe(now time.Time, members []replicator.MemberStatus) {
	silentSince := make(map[string]time.Time)
	for _, m := range members {
		if m.Alive || m.Name == p.self {
			continue
		}
		since, ok := p.silentSince[m.ID]
		if !ok {
			since = now
		}
		silentSince[m.ID] = since
	}
	p.silentSince = silentSince
}

// postpone defers the retry of a failed change by retryDelay.
func (p *planner) postpone(now time.Time, name string) {
	if p.retryAfter == nil {
		p.retryAfter = make(map[string]time.Time)
	}
	p.retryAfter[name] = now.Add(retryDelay)
}

// votes reports whether a hub is a voter and answers under the identity that votes.
func votes(members []replicator.MemberStatus, name string) bool {
	return slices.ContainsFunc(members, func(m replicator.MemberStatus) bool {
		return m.Name == name && m.Voter && m.Alive
	})
}
