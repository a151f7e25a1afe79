package server

import (
	"context"
	"errors"
	"fmt"
	"time"

	"verbenareach/internal/agent/bufferer"
	"verbenareach/internal/agent/gatekeeper"
	"verbenareach/internal/event/logger"
	"verbenareach/internal/wire/messenger"
)

const (
	// claimedCallTimeout bounds a claimed call, which continues when its entry is gone.
	claimedCallTimeout = 5 * time.Minute
	// recordTimeout bounds the commit of an outcome by recordOrphan.
	recordTimeout = 30 * time.Second
)

// Abandon ends an attempt whose generation continues on another backend server. An
// attempt of a later epoch than the request's stays.
func (p *peerService) Abandon(_ context.Context, req *messenger.AbandonRequest) (*messenger.AbandonReply, error) {
	a := p.agent
	s := a.session(req.GetGenerationId())
	if s == nil || s.start.GetWorkspace() != req.GetWorkspace() || s.start.GetEpoch() > req.GetEpoch() {
		return &messenger.AbandonReply{}, nil
	}
	// The tokens are no longer needed, even if the attempt has ended already.
	s.buffer.ConfirmEnd()
	s.end(bufferer.Result{Cause: "it goes on elsewhere"})
	a.Log.Emit(time.Now(), logger.AttemptAbandoned, req.GetGenerationId(), logger.F("epoch", s.start.GetEpoch()), logger.F("cause", "it goes on elsewhere"))
	return &messenger.AbandonReply{}, nil
}

// Call runs one call to the plain service. A call with a claim runs at most once, and
// is bounded by claimedCallTimeout instead of the request's deadline.
func (p *peerService) Call(ctx context.Context, req *messenger.CallRequest) (*messenger.CallReply, error) {
	a := p.agent
	if req.GetClaim() == nil {
		ctx, cancel := context.WithDeadline(ctx, time.Unix(0, req.GetDeadline()))
		defer cancel()
		return a.callService(ctx, req), nil
	}
	now := time.Now()
	// The dispatcher comes before the gate, so that a claim that ran is never
	// reported as declined, and a declined claim never runs later.
	reply, first := a.dispatcher.Dispatch(ctx, now, req.GetClaim(), func(ctx context.Context) *messenger.CallReply {
		ctx, cancel := context.WithTimeout(ctx, claimedCallTimeout)
		defer cancel()
		a.Log.Emit(now, logger.ClaimDispatched, req.GetCallId(), logger.F("key", req.GetClaim().GetKey()), logger.F("epoch", req.GetClaim().GetEpoch()))
		return a.callService(ctx, req)
	})
	a.Log.Emit(time.Now(), claimEvent(reply), req.GetCallId(), logger.F("ran", reply.GetRan()), logger.F("first", first), logger.F("detail", reply.GetDetail()))
	if first && ctx.Err() != nil {
		a.recordOrphan(ctx, req.GetClaim(), reply)
	}
	return reply, nil
}

// Inspect returns the work in progress, the load last reported by the engine and the
// number of the newest mark applied at the gate.
func (p *peerService) Inspect(context.Context, *messenger.InspectRequest) (*messenger.InspectReply, error) {
	a := p.agent
	reply := &messenger.InspectReply{
		Server: a.Self.Name, Incarnation: a.Self.Incarnation, Load: a.load.Load(), MarkNumber: a.gate.Mark().Number,
	}
	for _, w := range a.gate.InProgress() {
		reply.InProgress = append(reply.InProgress, &messenger.InProgress{
			Id: w.ID, Workspace: w.Workspace, StartedAt: w.StartedAt.UnixNano(),
		})
	}
	return reply, nil
}

// Locate reports whether a generation of the workspace is held here, and the index of
// the next token that the engine makes.
func (p *peerService) Locate(_ context.Context, req *messenger.LocateRequest) (*messenger.LocateReply, error) {
	a := p.agent
	s := a.session(req.GetGenerationId())
	if s == nil || s.start.GetWorkspace() != req.GetWorkspace() {
		return &messenger.LocateReply{}, nil
	}
	next, _ := s.buffer.Next()
	return &messenger.LocateReply{Found: true, Epoch: s.start.GetEpoch(), NextIndex: next, Incarnation: a.Self.Incarnation}, nil
}

// Mark applies a leave or return mark sent directly instead of through the
// replicated state. The reply holds the newest applied mark.
func (p *peerService) Mark(_ context.Context, req *messenger.MarkRequest) (*messenger.MarkReply, error) {
	a := p.agent
	if req.GetServer() == a.Self.Name {
		a.applyMark(time.Now(), req.GetNumber(), req.GetLeaving())
	}
	mark := a.gate.Mark()
	return &messenger.MarkReply{Number: mark.Number, Leaving: mark.Leaving, InProgress: uint32(len(a.gate.InProgress()))}, nil
}

// RefuseClaim ensures that a claim never runs here, or returns its outcome if it has
// run; see Dispatcher.Refuse.
func (p *peerService) RefuseClaim(ctx context.Context, req *messenger.RefuseClaimRequest) (*messenger.RefuseClaimReply, error) {
	a := p.agent
	reply := a.dispatcher.Refuse(ctx, time.Now(), req.GetClaim())
	a.Log.Emit(time.Now(), claimEvent(reply), req.GetClaim().GetKey(), logger.F("ran", reply.GetRan()), logger.F("detail", reply.GetDetail()))
	return &messenger.RefuseClaimReply{Ran: reply.GetRan(), Reply: reply}, nil
}

// claimEvent returns the event that reports a reply about a claim.
func claimEvent(reply *messenger.CallReply) logger.Event {
	if reply.GetRan() == messenger.Ran_RAN_NO {
		return logger.ClaimRefused
	}
	return logger.ClaimOutcome
}

// declinedCall returns the reply to a call that did not run because of err.
func (a *Agent) declinedCall(err error) *messenger.CallReply {
	reply := &messenger.CallReply{Ran: messenger.Ran_RAN_NO, Load: a.load.Load(), Detail: err.Error()}
	var declined *gatekeeper.DeclinedError
	if errors.As(err, &declined) {
		reply.Reason = declined.Reason
	}
	return reply
}

// recordOrphan commits the outcome of a claim whose entry disconnected during the call. A call
// that did not run, or may have run, has none: the next entry to resolve the claim learns that.
func (a *Agent) recordOrphan(ctx context.Context, claim *messenger.Claim, reply *messenger.CallReply) {
	if a.RecordOutcome == nil || reply.GetRan() != messenger.Ran_RAN_YES {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), recordTimeout)
	defer cancel()
	if _, err := a.RecordOutcome(ctx, claim, reply); err != nil {
		a.Log.Emit(time.Now(), logger.ClaimOutcome, claim.GetKey(), logger.F("notRecorded", err))
	}
}

// callService admits one call at the gate and sends it to the plain service.
func (a *Agent) callService(ctx context.Context, req *messenger.CallRequest) *messenger.CallReply {
	now := time.Now()
	work := gatekeeper.Work{ID: fmt.Sprintf("%s#%d", req.GetCallId(), a.calls.Add(1)), Workspace: req.GetWorkspace(), StartedAt: now}
	if err := a.gate.Admit(now, work, req.GetIncarnation()); err != nil {
		return a.declinedCall(err)
	}
	defer a.gate.Finish(work.ID)
	b := a.currentBackend()
	if b == nil || b.service == nil || b.announced.Service != req.GetService() {
		return a.declinedCall(&gatekeeper.DeclinedError{Reason: messenger.DeclineReason_DECLINE_REASON_BACKEND_DOWN})
	}
	return b.service.Call(ctx, req)
}
