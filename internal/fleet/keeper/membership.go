package keeper

import (
	"context"
	"maps"
	"slices"
	"time"

	"verbenareach/internal/control/replicator"
	"verbenareach/internal/event/logger"
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
		// retryAfter holds the time before which a failed change is not retried, by identity.
		retryAfter map[string]time.Time
	}

	// memberChange is one change of the membership that waits for no other hub than those that
	// vote. The zero value is no change.
	memberChange struct {
		action memberAction
		// id is the identity that is added, promoted or removed; name is the hub's name.
		id, name string
		// learner is the hub to add.
		learner replicator.Identity
	}

	memberAction int
)

const (
	noChange memberAction = iota
	addLearner
	promote
	remove

	// checkInterval is the pause between checks of the membership.
	checkInterval = 250 * time.Millisecond
	// removeAfter is how long a voter must be silent before it is removed. A host that merely
	// restarts is back sooner.
	removeAfter = 5 * time.Second
	// urgentRemoveAfter replaces removeAfter while fewer further losses than required are
	// tolerated, and the removal of a silent voter would raise that number.
	urgentRemoveAfter = time.Second
	// retryDelay is the wait after a change failed.
	retryDelay = 500 * time.Millisecond
	// changeTimeout bounds one change of the membership. The others wait meanwhile.
	changeTimeout = 2 * time.Second
)

// manage adapts the membership to the linked hubs while this hub leads.
func (k *Keeper) manage(ctx context.Context, r *replicator.Replicator) {
	p := &planner{self: k.Self.Name, minVoters: k.MinVoters}
	i := &identifier{Ask: r.Identify, Log: k.Log}
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
		now := time.Now()
		next := p.next(now, s.Members, k.identifyNew(ctx, now, i, s.Members))
		if next.action != noChange {
			k.change(ctx, r, p, next)
		}
	}
}

// identifyNew returns the identities of the linked hubs of which no member answers, as far as
// they are known.
func (k *Keeper) identifyNew(ctx context.Context, now time.Time, i *identifier, members []replicator.MemberStatus) []replicator.Identity {
	var identities []replicator.Identity
	for _, h := range k.Candidates() {
		if hasLiveMember(members, h.Name) {
			continue
		}
		if identity, known := i.identify(ctx, now, h); known {
			identities = append(identities, identity)
		}
	}
	return identities
}

// change makes one change of the membership and logs it. A failed change is logged with its
// error and postponed.
func (k *Keeper) change(ctx context.Context, r *replicator.Replicator, p *planner, next memberChange) {
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	fields := []logger.Field{logger.F("host", next.name), logger.F("identity", next.id), logger.F("action", next.action)}
	k.Log.Emit(time.Now(), logger.FleetMemberChanging, "", fields...)
	err := next.make(ctx, r)
	if err != nil {
		p.postpone(time.Now(), next.id)
	}
	k.Log.Emit(time.Now(), logger.FleetMemberChanged, "", append(fields, logger.F("error", err))...)
}

// make makes the change at the leader r.
func (c memberChange) make(ctx context.Context, r *replicator.Replicator) error {
	switch c.action {
	case addLearner:
		return r.AddLearner(ctx, c.learner)
	case promote:
		return r.Promote(ctx, c.id)
	case remove:
		return r.Remove(ctx, c.id)
	default:
		return nil
	}
}

// String returns the action as it is logged.
func (a memberAction) String() string {
	return [...]string{"none", "addLearner", "promote", "remove"}[a]
}

// next returns the change that is due. Learners that have caught up become voters first, then
// identified hubs are added as learners. Then the voter that has been silent for longest is
// removed, if that is long enough, more than minVoters vote and at least minVoters answer; then
// a silent learner.
func (p *planner) next(now time.Time, members []replicator.MemberStatus, identified []replicator.Identity) memberChange {
	p.observe(now, members)
	for _, m := range members {
		if !m.Voter && m.CaughtUp && !now.Before(p.retryAfter[m.ID]) {
			return memberChange{action: promote, id: m.ID, name: m.Name}
		}
	}
	for _, h := range identified {
		if !isMember(members, h.ID) && !now.Before(p.retryAfter[h.ID]) {
			return memberChange{action: addLearner, id: h.ID, name: h.Name, learner: h}
		}
	}
	return p.nextRemoval(now, members)
}

// nextRemoval returns the removal that is due: that of a voter first.
func (p *planner) nextRemoval(now time.Time, members []replicator.MemberStatus) memberChange {
	voterDelay := removeAfter
	if p.removalIsUrgent(members) {
		voterDelay = urgentRemoveAfter
	}
	voters, alive := 0, 0
	for _, m := range members {
		if !m.Voter {
			continue
		}
		voters++
		if _, silent := p.silentSince[m.ID]; !silent {
			alive++
		}
	}
	if voters > p.minVoters && alive >= p.minVoters {
		if m := p.longestSilent(now, members, true, voterDelay); m.ID != "" {
			return memberChange{action: remove, id: m.ID, name: m.Name}
		}
	}
	if m := p.longestSilent(now, members, false, removeAfter); m.ID != "" {
		return memberChange{action: remove, id: m.ID, name: m.Name}
	}
	return memberChange{}
}

// longestSilent returns the voter or learner that has been silent for longest, at least for delay,
// and whose removal has not just failed; the zero value if there is none.
func (p *planner) longestSilent(now time.Time, members []replicator.MemberStatus, voter bool, delay time.Duration) replicator.MemberStatus {
	var found replicator.MemberStatus
	for _, m := range members {
		since, silent := p.silentSince[m.ID]
		if m.Voter != voter || !silent || now.Sub(since) < delay || now.Before(p.retryAfter[m.ID]) {
			continue
		}
		if found.ID == "" || since.Before(p.silentSince[found.ID]) {
			found = m
		}
	}
	return found
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
func (p *planner) postpone(now time.Time, id string) {
	if p.retryAfter == nil {
		p.retryAfter = make(map[string]time.Time)
	}
	maps.DeleteFunc(p.retryAfter, func(_ string, at time.Time) bool { return now.After(at) })
	p.retryAfter[id] = now.Add(retryDelay)
}

// hasLiveMember reports whether a hub has a member that answers. A silent former identity of the
// hub doesn't count.
func hasLiveMember(members []replicator.MemberStatus, name string) bool {
	return slices.ContainsFunc(members, func(m replicator.MemberStatus) bool { return m.Name == name && m.Alive })
}

// isMember reports whether an identity is a member.
func isMember(members []replicator.MemberStatus, id string) bool {
	return slices.ContainsFunc(members, func(m replicator.MemberStatus) bool { return m.ID == id })
}
