package keeper

import (
	"context"
	"slices"
	"time"

	"verbenareach/internal/control/replicator"
	"verbenareach/internal/event/logger"
	"verbenareach/internal/wire/messenger"
)

// manage keeps the membership in step with the hubs while this hub leads.
func (k *Keeper) manage(ctx context.Context, r *replicator.Replicator) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(manageEvery):
		}
		s := r.Status()
		if s.Role != "leader" {
			k.absent = nil
			continue
		}
		k.noteAbsent(time.Now(), s.Members)
		k.adjust(ctx, r, s)
	}
}

// noteAbsent keeps since when each voter has not answered.
func (k *Keeper) noteAbsent(now time.Time, members []replicator.MemberStatus) {
	absent := make(map[string]time.Time)
	for _, m := range members {
		if m.Alive || m.Name == k.Self.Name {
			continue
		}
		since, ok := k.absent[m.ID]
		if !ok {
			since = now
		}
		absent[m.ID] = since
	}
	k.absent = absent
}

// adjust makes at most one step: it takes in a hub that is no voter yet, in the place
// of a silent one if there is such a one.
func (k *Keeper) adjust(ctx context.Context, r *replicator.Replicator, s replicator.Status) {
	for _, h := range k.Candidates() {
		if isVoter(s.Members, h) {
			continue
		}
		ctx, cancel := context.WithTimeout(ctx, changeTimeout)
		defer cancel()
		old := k.replaced(time.Now(), s.Members, h)
		err := r.Add(ctx, replicator.Peer{Name: h.Name, Address: h.Address})
		if err == nil && old != "" {
			err = r.Remove(ctx, old)
		}
		k.Log.Emit(time.Now(), logger.FleetMemberChanged, "", logger.F("host", h.Name),
			logger.F("inPlaceOf", old), logger.F("voters", len(s.Members)), logger.F("error", err))
		return
	}
}

// replaced returns the id of the voter whose place a new hub takes: a silent one, the
// longest-silent one first. It is empty if all voters answer, or if the hub is no newcomer.
func (k *Keeper) replaced(now time.Time, members []replicator.MemberStatus, h *messenger.FleetHost) string {
	var silent []replicator.MemberStatus
	if slices.ContainsFunc(members, func(m replicator.MemberStatus) bool { return m.Name == h.Name }) {
		return ""
	}
	for _, m := range members {
		since, absent := k.absent[m.ID]
		if m.Voter && absent && m.Name != h.Name && now.Sub(since) >= absentFor {
			silent = append(silent, m)
		}
	}
	if len(silent) == 0 {
		return ""
	}
	slices.SortFunc(silent, func(a, b replicator.MemberStatus) int {
		return k.absent[a.ID].Compare(k.absent[b.ID])
	})
	return silent[0].ID
}

// isVoter tells whether a hub votes already and answers under the identity that votes.
func isVoter(members []replicator.MemberStatus, h *messenger.FleetHost) bool {
	return slices.ContainsFunc(members, func(m replicator.MemberStatus) bool {
		return m.Name == h.Name && m.Voter && m.Alive
	})
}
