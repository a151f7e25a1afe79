// Package dispatcher runs each claimed call at most once at its backend server.
package dispatcher

import (
	"context"
	"sync"
	"time"

	"verbenareach/internal/wire/messenger"
)

const (
	// DefaultKeep is how long an answered or refused claim is remembered here; its
	// outcome is in control's log long before.
	DefaultKeep = 15 * time.Minute
)

type (
	// Run sends a call to the backend server and returns its reply. A reply with
	// RAN_NO proves that nothing was sent.
	Run func(ctx context.Context) *messenger.CallReply

	// Dispatcher remembers claims so that none runs twice. Its exported fields are
	// set before first use.
	Dispatcher struct {
		// Incarnation is the agent's: a claim for another one never runs here.
		Incarnation uint64
		// Keep is how long to remember a claim after its end; 0 for DefaultKeep.
		Keep time.Duration

		mu sync.Mutex
		// claims holds each claim that was dispatched or refused here.
		claims map[claimID]*claimState
		// sweptAt is when old claims were last dropped.
		sweptAt time.Time
		// floor is the highest log index of a dropped claim. An unknown claim at or
		// below it may have been one of them, so it never runs. It never falls.
		floor uint64
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

// Dispatch runs a claim unless it was run or refused here before. It returns the
// recorded reply of a former dispatch, and first tells whether this call ran it.
// The run goes on when ctx ends, as its outcome must be known.
func (d *Dispatcher) Dispatch(ctx context.Context, now time.Time, claim *messenger.Claim, run Run) (reply *messenger.CallReply, first bool) {
	if claim.GetIncarnation() != d.Incarnation {
		return notRun(messenger.DeclineReason_DECLINE_REASON_INCARNATION), false
	}
	state, first := d.enter(now, claim)
	if state == nil {
		return forgotten(), false
	}
	if first {
		d.finish(state, run(context.WithoutCancel(ctx)))
	}
	select {
	case <-state.done:
		return state.reply, first
	case <-ctx.Done():
		return &messenger.CallReply{Ran: messenger.Ran_RAN_UNKNOWN, Detail: "still running"}, first
	}
}

// Refuse makes sure that a claim never runs here, unless it has: then it waits
// for the outcome and returns it. A claim for a former incarnation is answered
// with RAN_UNKNOWN, as what that one did is not known.
func (d *Dispatcher) Refuse(ctx context.Context, now time.Time, claim *messenger.Claim) *messenger.CallReply {
	if claim.GetIncarnation() < d.Incarnation {
		return &messenger.CallReply{Ran: messenger.Ran_RAN_UNKNOWN, Detail: "the agent restarted since"}
	}
	if claim.GetIncarnation() > d.Incarnation {
		return &messenger.CallReply{Ran: messenger.Ran_RAN_UNKNOWN, Detail: "the claim is for a later incarnation"}
	}
	state, first := d.enter(now, claim)
	if state == nil {
		return forgotten()
	}
	if first {
		d.finish(state, notRun(messenger.DeclineReason_DECLINE_REASON_CLAIM))
	}
	select {
	case <-state.done:
		return state.reply
	case <-ctx.Done():
		return &messenger.CallReply{Ran: messenger.Ran_RAN_UNKNOWN, Detail: "still running"}
	}
}

// enter returns the claim's state, and whether the caller is the first to ask;
// no state for a claim that may have been dropped.
func (d *Dispatcher) enter(now time.Time, claim *messenger.Claim) (state *claimState, first bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.sweep(now)
	id := claimID{claim.GetWorkspace(), claim.GetKey(), claim.GetEpoch()}
	if known, ok := d.claims[id]; ok {
		return known, false
	}
	if claim.GetIndex() <= d.floor {
		return nil, false
	}
	if d.claims == nil {
		d.claims = make(map[claimID]*claimState)
	}
	state = &claimState{index: claim.GetIndex(), done: make(chan struct{})}
	d.claims[id] = state
	return state, true
}

func (d *Dispatcher) finish(state *claimState, reply *messenger.CallReply) {
	d.mu.Lock()
	defer d.mu.Unlock()
	state.reply = reply
	state.endedAt = d.sweptAt
	close(state.done)
}

// sweep drops claims that ended long ago. The zero endedAt marks a running one,
// which is never dropped.
func (d *Dispatcher) sweep(now time.Time) {
	keep := d.Keep
	if keep == 0 {
		keep = DefaultKeep
	}
	if now.Sub(d.sweptAt) < keep/16 {
		return
	}
	d.sweptAt = now
	for id, state := range d.claims {
		if state.reply != nil && now.Sub(state.endedAt) > keep {
			d.floor = max(d.floor, state.index)
			delete(d.claims, id)
		}
	}
}

func forgotten() *messenger.CallReply {
	return &messenger.CallReply{Ran: messenger.Ran_RAN_UNKNOWN, Detail: "too long ago to be known here"}
}

func notRun(reason messenger.DeclineReason) *messenger.CallReply {
	return &messenger.CallReply{Ran: messenger.Ran_RAN_NO, Reason: reason}
}
