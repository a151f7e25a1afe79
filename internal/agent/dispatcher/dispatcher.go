// Package dispatcher runs each claimed call at most once at its backend server. A
// claim, committed to control's log, is the right to run one call once.
package dispatcher

import (
	"context"
	"sync"
	"time"

	"verbenareach/internal/wire/messenger"
)

const (
	// DefaultRetention is how long an answered or refused claim is remembered; the
	// outcome of an answered one is committed to control's log long before that.
	DefaultRetention = 15 * time.Minute
)

type (
	// Run sends a call to the backend server and returns the reply. RAN_NO in the
	// reply proves that nothing was sent.
	Run func(ctx context.Context) *messenger.CallReply

	// Dispatcher records claims so that none runs twice. Its exported fields are
	// set before first use.
	Dispatcher struct {
		// Incarnation is the number of the agent's run, higher after each restart; a
		// claim for another one never runs here.
		Incarnation uint64
		// Retention is how long to remember an ended claim, counted from the last
		// sweep before its end; 0 means DefaultRetention.
		Retention time.Duration

		mu sync.Mutex
		// claims holds each claim that was dispatched or refused here.
		claims map[claimID]*claimState
		// sweptAt is the time of the last sweep.
		sweptAt time.Time
		// maxDroppedIndex is the highest log index of a dropped claim; it never
		// decreases. An unknown claim at or below it may have been dropped, so it
		// never runs.
		maxDroppedIndex uint64
	}

	claimID struct {
		workspace, key string
		epoch          uint32
	}

	claimState struct {
		// index is the claim's log index.
		index uint64
		// done is closed when reply is set.
		done chan struct{}
		// reply is the outcome; RAN_NO for a refused claim.
		reply *messenger.CallReply
		// endedAt is when reply was set; zero before.
		endedAt time.Time
	}
)

// Dispatch runs a claim unless it was run or refused here before; then it waits for
// the reply of that earlier call. first reports whether this call ran the claim.
// The run continues when ctx ends, because its outcome must be known; a call that waits
// for it then gets RAN_UNKNOWN. The reply is RAN_NO for a claim of another incarnation,
// and RAN_UNKNOWN for one that may have been dropped.
func (d *Dispatcher) Dispatch(ctx context.Context, now time.Time, claim *messenger.Claim, run Run) (reply *messenger.CallReply, first bool) {
	if claim.GetIncarnation() != d.Incarnation {
		return notRunReply(messenger.DeclineReason_DECLINE_REASON_INCARNATION), false
	}
	state, first := d.stateOf(now, claim)
	if state == nil {
		return droppedReply(), false
	}
	if first {
		begun := time.Now()
		reply = run(context.WithoutCancel(ctx))
		d.setReply(now.Add(time.Since(begun)), state, reply)
		return reply, true
	}
	return state.wait(ctx), false
}

// Refuse ensures that a claim never runs here. If the claim was dispatched already,
// it waits for the outcome and returns it, or RAN_UNKNOWN if ctx ends before. For a
// claim of another incarnation it returns RAN_UNKNOWN too, because it is not known
// whether that incarnation ran it, and so for one that may have been dropped.
func (d *Dispatcher) Refuse(ctx context.Context, now time.Time, claim *messenger.Claim) *messenger.CallReply {
	if claim.GetIncarnation() < d.Incarnation {
		return &messenger.CallReply{Ran: messenger.Ran_RAN_UNKNOWN, Detail: "the agent restarted since"}
	}
	if claim.GetIncarnation() > d.Incarnation {
		return &messenger.CallReply{Ran: messenger.Ran_RAN_UNKNOWN, Detail: "the claim is for a later incarnation"}
	}
	state, first := d.stateOf(now, claim)
	if state == nil {
		return droppedReply()
	}
	if first {
		d.setReply(now, state, notRunReply(messenger.DeclineReason_DECLINE_REASON_CLAIM))
	}
	return state.wait(ctx)
}

// wait returns the reply of a claim, or RAN_UNKNOWN if ctx ends while it still runs.
func (s *claimState) wait(ctx context.Context) *messenger.CallReply {
	select {
	case <-s.done:
		return s.reply
	case <-ctx.Done():
	}
	// Of two channels that are ready, select picks either.
	select {
	case <-s.done:
		return s.reply
	default:
		return &messenger.CallReply{Ran: messenger.Ran_RAN_UNKNOWN, Detail: "still running"}
	}
}

// stateOf returns the claim's state, and as first whether this call created it; then
// the caller must set its reply. The state is nil for a claim that may have been
// dropped.
func (d *Dispatcher) stateOf(now time.Time, claim *messenger.Claim) (state *claimState, first bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.sweep(now)
	id := claimID{claim.GetWorkspace(), claim.GetKey(), claim.GetEpoch()}
	if known, ok := d.claims[id]; ok {
		return known, false
	}
	if claim.GetIndex() <= d.maxDroppedIndex {
		return nil, false
	}
	if d.claims == nil {
		d.claims = make(map[claimID]*claimState)
	}
	state = &claimState{index: claim.GetIndex(), done: make(chan struct{})}
	d.claims[id] = state
	return state, true
}

// setReply ends a claim and wakes all that wait for its reply.
func (d *Dispatcher) setReply(now time.Time, state *claimState, reply *messenger.CallReply) {
	d.mu.Lock()
	defer d.mu.Unlock()
	state.reply = reply
	state.endedAt = now
	close(state.done)
}

// sweep drops claims that ended longer ago than the retention, at most once in a
// sixteenth of it. A claim without a reply is still running and never dropped. The
// caller holds d.mu.
func (d *Dispatcher) sweep(now time.Time) {
	retention := d.Retention
	if retention == 0 {
		retention = DefaultRetention
	}
	if now.Sub(d.sweptAt) < retention/16 {
		return
	}
	d.sweptAt = now
	for id, state := range d.claims {
		if state.reply != nil && now.Sub(state.endedAt) > retention {
			d.maxDroppedIndex = max(d.maxDroppedIndex, state.index)
			delete(d.claims, id)
		}
	}
}

// droppedReply returns the reply for a claim that may have been dropped.
func droppedReply() *messenger.CallReply {
	return &messenger.CallReply{Ran: messenger.Ran_RAN_UNKNOWN, Detail: "too long ago to be known here"}
}

// notRunReply returns the reply for a claim that did not run and never will here.
func notRunReply(reason messenger.DeclineReason) *messenger.CallReply {
	return &messenger.CallReply{Ran: messenger.Ran_RAN_NO, Reason: reason}
}
