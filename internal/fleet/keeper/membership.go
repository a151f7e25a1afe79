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
	// planner chooses the next change of the membership. It does no I/O. An identity is the ID of
	// a member in the replicated log; a hub that lost its disk returns with a new one.
	planner struct {
		// self is the name of this hub, which leads.
		self string
		// minVoters is the least number of voters; removals don't go below it. The required
		// number of losses to tolerate is half of it, rounded down.
		minVoters int
		// silentSince holds the time since which each silent member has not answered, by identity.
		silentSince map[string]time.Time
		// retryAfter holds the time before which a failed change is not retried, by hub name for
		// additions and by identity for removals.
		retryAfter map[string]time.Time
	}

	// memberChange is one change of the membership: a hub to add, or an identity to remove. The
	// zero value is no change.
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
	// urgentRemoveAfter replaces removeAfter while fewer further losses than required are
	// tolerated, and the removal of a silent voter would raise that number.
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

// change makes one change of the membership and logs it. A failed change is logged with its
// error and postponed.
func (k *Keeper) change(ctx context.Context, r *replicator.Replicator, p *planner, next memberChange) {
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	target := next.remove
	if next.add != nil {
		target = next.add.Name
	}
	k.Log.Emit(time.Now(), logger.FleetMemberChanging, "", logger.F("host", target), logger.F("added", next.add != nil))
	var err error
	if next.add != nil {
		err = r.Add(ctx, replicator.Peer{Name: target, Address: next.add.Address})
	} else {
		err = r.Remove(ctx, target)
	}
	if err != nil {
		p.postpone(time.Now(), target)
	}
	k.Log.Emit(time.Now(), logger.FleetMemberChanged, "", logger.F("host", target), logger.F("added", next.add != nil),
		logger.F("error", err))
}

// next returns the change that is due. Linked hubs are added as voters first. Then the voter
// that has been silent for longest is removed, if that is long enough, more than minVoters vote
// and at least minVoters answer.
func (p *planner) next(now time.Time, members []replicator.MemberStatus, candidates []*messenger.FleetHost) memberChange {
	p.observe(now, members)
	for _, h := range candidates {
		if !isLiveVoter(members, h.Name) && !now.Before(p.retryAfter[h.Name]) {
			return memberChange{add: h}
		}
	}
	removeDelay := removeAfter
	if p.removalIsUrgent(members) {
		removeDelay = urgentRemoveAfter
	}
	voters, alive := 0, 0
	longestSilent := ""
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
		if now.Sub(since) >= removeDelay && (longestSilent == "" || since.Before(p.silentSince[longestSilent])) {
			longestSilent = m.ID
		}
	}
	// If no voter has been silent for long enough, longestSilent is empty: no change.
	if voters > p.minVoters && alive >= p.minVoters && !now.Before(p.retryAfter[longestSilent]) {
		return memberChange{remove: longestSilent}
	}
	return memberChange{}
}

// removalIsUrgent reports whether the voters that answer tolerate fewer further losses than
// required, and would tolerate more if a silent voter were removed.
func (p *planner) removalIsUrgent(members []replicator.MemberStatus) bool {
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
	// tolerated returns how many of the voters that answer may be lost if n vote; it is negative
	// if they are no majority.
	tolerated := func(n int) int { return alive - (n/2 + 1) }
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
func (p *planner) postpone(now time.Time, target string) {
	if p.retryAfter == nil {
		p.retryAfter = make(map[string]time.Time)
	}
	p.retryAfter[target] = now.Add(retryDelay)
}

// isLiveVoter reports whether a hub has a voting member that answers. A silent former identity
// of the hub doesn't count.
func isLiveVoter(members []replicator.MemberStatus, name string) bool {
	return slices.ContainsFunc(members, func(m replicator.MemberStatus) bool {
		return m.Name == name && m.Voter && m.Alive
	})
}
