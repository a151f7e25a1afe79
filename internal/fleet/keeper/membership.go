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
	// warden decides how the membership changes. It knows no network.
	warden struct {
		// self is the name of the hub that leads.
		self string
		// quorumOf is how many voters there are at least: enough for a majority to be
		// left after as many hubs are lost as must be borne.
		quorumOf int
		// absent holds since when each member has not answered, by identity.
		absent map[string]time.Time
		// failed holds until when a hub that could not be added is left alone, by name.
		failed map[string]time.Time
	}

	// step is one change of the membership: a hub to add, or an identity to remove.
	step struct {
		add    *messenger.FleetHost
		remove string
	}
)

const (
	// manageEvery is the pause between looks at the membership.
	manageEvery = 250 * time.Millisecond
	// absentFor is how long a voter must be silent before it is removed. A host that
	// merely restarts is back sooner.
	absentFor = 5 * time.Second
	// hurryFor takes its place where the silent voter costs a loss that must be borne.
	hurryFor = time.Second
	// addAgain is the wait after a hub could not be added.
	addAgain = 2 * time.Second
	// changeTimeout bounds one change of the membership.
	changeTimeout = 8 * time.Second
)

// manage keeps the membership in step with the hubs while this hub leads.
func (k *Keeper) manage(ctx context.Context, r *replicator.Replicator) {
	w := &warden{self: k.Self.Name, quorumOf: k.QuorumOf}
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(manageEvery):
		}
		s := r.Status()
		if s.Role != "leader" {
			w.absent = nil
			continue
		}
		next := w.next(time.Now(), s.Members, k.Candidates())
		if next.add != nil || next.remove != "" {
			k.change(ctx, r, w, next)
		}
	}
}

// change makes one change of the membership.
func (k *Keeper) change(ctx context.Context, r *replicator.Replicator, w *warden, next step) {
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
		w.leave(time.Now(), name)
	}
	k.Log.Emit(time.Now(), logger.FleetMemberChanged, "", logger.F("host", name), logger.F("added", next.add != nil),
		logger.F("error", err))
}

// next returns the change that is due: hubs that are linked become voters, and voters that
// have been silent for long go once enough others answer.
func (w *warden) next(now time.Time, members []replicator.MemberStatus, candidates []*messenger.FleetHost) step {
	w.note(now, members)
	for _, h := range candidates {
		if !votes(members, h.Name) && !now.Before(w.failed[h.Name]) {
			return step{add: h}
		}
	}
	patience := absentFor
	if w.costsALoss(members) {
		patience = hurryFor
	}
	voters, alive := 0, 0
	oldest := ""
	for _, m := range members {
		if !m.Voter {
			continue
		}
		voters++
		since, silent := w.absent[m.ID]
		if !silent {
			alive++
			continue
		}
		if now.Sub(since) >= patience && (oldest == "" || since.Before(w.absent[oldest])) {
			oldest = m.ID
		}
	}
	if voters > w.quorumOf && alive >= w.quorumOf && !now.Before(w.failed[oldest]) {
		return step{remove: oldest}
	}
	return step{}
}

// costsALoss tells whether fewer of the voters that answer may be lost than must be borne,
// and more could be without one that is silent.
func (w *warden) costsALoss(members []replicator.MemberStatus) bool {
	voters, alive := 0, 0
	for _, m := range members {
		if !m.Voter {
			continue
		}
		voters++
		if m.Alive || m.Name == w.self {
			alive++
		}
	}
	bears := func(voters int) int { return alive - (voters/2 + 1) }
	return alive < voters && bears(voters) < w.quorumOf/2 && bears(voters-1) > bears(voters)
}

// note keeps since when each member has not answered.
func (w *warden) note(now time.Time, members []replicator.MemberStatus) {
	absent := make(map[string]time.Time)
	for _, m := range members {
		if m.Alive || m.Name == w.self {
			continue
		}
		since, ok := w.absent[m.ID]
		if !ok {
			since = now
		}
		absent[m.ID] = since
	}
	w.absent = absent
}

// leave lets a change that failed rest for a while.
func (w *warden) leave(now time.Time, name string) {
	if w.failed == nil {
		w.failed = make(map[string]time.Time)
	}
	w.failed[name] = now.Add(addAgain)
}

// votes tells whether a hub votes already and answers under the identity that votes.
func votes(members []replicator.MemberStatus, name string) bool {
	return slices.ContainsFunc(members, func(m replicator.MemberStatus) bool {
		return m.Name == name && m.Voter && m.Alive
	})
}
