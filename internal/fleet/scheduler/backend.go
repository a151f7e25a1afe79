package scheduler

import (
	"slices"
	"time"

	"verbenareach/internal/fleet/cataloger"
	"verbenareach/internal/fleet/pacer"
	"verbenareach/internal/wire/messenger"
)

// backend is an engine as last reported, with the runs and backups placed there.
type backend struct {
	report *messenger.Backend
	engine cataloger.Engine
	// region is the region of its failure domain; empty if that is unknown.
	region string
	runs   map[string]*run
	// backups holds the runs whose KV cache is copied here as it grows, or is being moved
	// here; orphans holds the copies without a run that the engine has not freed yet.
	backups map[string]*run
	orphans []orphan
	// leavingSince is when the backend server was first known to leave; zero before.
	leavingSince time.Time
	// noticed is set while the backend server leaves after a notice, not if it just ended.
	noticed bool
	// evacuated is set while the engine's failure domain is evacuated.
	evacuated bool
	// planned is set once a plan for its departure was reported. ended is set once a run was seen to end
	// with its process: since its notice, or without one.
	planned, ended bool
	// movedToBackup is the number of runs that were ordered to go on at their backups since the newest plan.
	movedToBackup int
	// outgoing is the run being transferred away, incoming the one being transferred here;
	// nil for none.
	outgoing, incoming *run
	// avoidUntil is the time before which nothing is placed here after a failure; losses
	// counts the runs lost here since a run last streamed.
	avoidUntil time.Time
	losses     int
	// slowdown is the average ratio of actual to forecast prefill time here, as of measured,
	// which is zero before the first sample.
	slowdown float64
	measured time.Time
	forecast memoryForecast
	// pace is the engine's pace; uneven is set while it is known to be slow or unsteady. readAt is when
	// the engine was last known to have read a prompt; zero before the first one.
	pace   *pacer.Engine
	uneven bool
	readAt time.Time
	// changed is set when something changed that may let a waiting request fit here.
	changed bool
	// wasThrottled is set if the engine's limit allowed no request when that was asked last.
	wasThrottled bool
	// prefills holds the runs whose prompt the engine is processing; it is valid only while
	// prefillsKnown is set.
	prefills      []*run
	prefillsKnown bool
	// linkBusyUntil is when the link for transfers between engines is expected to be free.
	linkBusyUntil time.Time
}

// invalidate discards what is cached of the engine after a change of what it holds.
func (b *backend) invalidate() {
	b.forecast.computed = time.Time{}
	b.prefillsKnown = false
	b.changed = true
}

// add records a run on the engine, or its backup if backup is set.
func (b *backend) add(r *run, backup bool) {
	b.invalidate()
	if backup {
		b.backups[r.id] = r
		return
	}
	b.runs[r.id] = r
}

// remove drops a run from the engine, or its backup if backup is set.
func (b *backend) remove(r *run, backup bool) {
	b.invalidate()
	if backup {
		delete(b.backups, r.id)
		return
	}
	delete(b.runs, r.id)
}

// accepts reports whether a request may be placed on the engine, leaving its memory aside.
func (b *backend) accepts(now time.Time, req *messenger.PlaceRequest) bool {
	return b.report.Service == req.Service && b.allows(req) && b.open(now) && !slices.Contains(req.Avoid, b.report.Id)
}

// open reports whether the engine takes runs: it is ready, has a free slot and is not avoided.
func (b *backend) open(now time.Time) bool {
	return b.ready() && len(b.runs) < b.slots() && !now.Before(b.avoidUntil)
}

// recordLoss records that the engine lost a run, and avoids it for longer after each loss.
func (b *backend) recordLoss(now time.Time) {
	b.avoidUntil = now.Add(avoidAfterLoss << min(b.losses, maxAvoidDoublings))
	b.losses++
}

// slots returns how many runs the engine takes: as configured, or else as it reports.
func (b *backend) slots() int {
	if b.engine.Slots > 0 {
		return b.engine.Slots
	}
	return int(b.report.Slots)
}

// prefilling returns the runs whose prompt the engine is processing. The slice is valid until the
// next change of the engine.
func (b *backend) prefilling() []*run {
	if b.prefillsKnown {
		return b.prefills
	}
	b.prefills = b.prefills[:0]
	for _, r := range b.runs {
		if r.streamingSince.IsZero() {
			b.prefills = append(b.prefills, r)
		}
	}
	b.prefillsKnown = true
	return b.prefills
}
