package booker

import (
	"context"
	"errors"
	"time"

	"verbenareach/internal/event/logger"
	"verbenareach/internal/wire/messenger"
)

// callOnce makes a non-repeatable call: claim, dispatch, record. Each round is
// one epoch of the claim; a next one begins only when the former is proven not
// to have run.
func (b *Booker) callOnce(ctx context.Context, req Request) (*messenger.CallReply, error) {
	var avoid []Target
	epoch := uint32(1)
	for {
		target, err := b.Choose(ctx, time.Now(), req.Service, avoid)
		if err != nil {
			return nil, b.notClaimed(req, err)
		}
		answer, err := b.Claim(ctx, time.Now(), &messenger.Claim{
			Workspace: req.Workspace, Key: req.Key, Digest: req.Digest(),
			Server: target.Server, Incarnation: target.Incarnation, Epoch: epoch,
		}, req.Retention)
		if err != nil {
			b.Report(time.Now(), target, false)
			return nil, b.notClaimed(req, err)
		}
		var reply *messenger.CallReply
		switch answer.Status {
		case ClaimConflict:
			b.Report(time.Now(), target, true)
			b.Log.Emit(time.Now(), logger.ClaimConflict, req.ID, logger.F("key", req.Key))
			return nil, &ConflictError{Key: req.Key}
		case ClaimDone:
			b.Report(time.Now(), target, true)
			b.Log.Emit(time.Now(), logger.ClaimReplayed, req.ID, logger.F("key", req.Key))
			return answer.Outcome, nil
		case ClaimPending:
			reply = b.resolve(ctx, req, answer.Claim)
		case ClaimGranted:
			b.Log.Emit(time.Now(), logger.ClaimGranted, req.ID, logger.F("key", req.Key), logger.F("server", target.Server), logger.F("epoch", epoch))
			reply = b.dispatch(ctx, req, target, answer.Claim)
		}
		b.Report(time.Now(), target, reply.GetRan() == messenger.Ran_RAN_YES)
		done, err := b.settle(ctx, req, answer.Claim, reply)
		if done {
			return reply, err
		}
		epoch = answer.Claim.GetEpoch() + 1
		avoid = append(avoid, target)
	}
}

// dispatch sends a claimed call once, and when no answer comes asks what became of it.
func (b *Booker) dispatch(ctx context.Context, req Request, target Target, claim *messenger.Claim) *messenger.CallReply {
	reply, err := b.send(ctx, req, target, claim)
	if err == nil && reply.GetRan() != messenger.Ran_RAN_UNKNOWN {
		return reply
	}
	return b.resolve(ctx, req, claim)
}

// notClaimed tells what a failure before our own dispatch proves: nothing, if
// the caller may have sent the same key through another entry.
func (b *Booker) notClaimed(req Request, cause error) error {
	return unanswered(req.KeyFromCaller, cause)
}

// resolve asks the claim's agent to refuse the claim, or to tell its outcome.
func (b *Booker) resolve(ctx context.Context, req Request, claim *messenger.Claim) *messenger.CallReply {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), resolveTimeout)
	defer cancel()
	unknown := &messenger.CallReply{Ran: messenger.Ran_RAN_UNKNOWN, Detail: "the backend server's agent can't be asked"}
	for {
		address, known := b.AddressOf(claim.GetServer())
		if known {
			conn := b.Pool.Conn(ctx, address)
			answer, err := messenger.NewDRPCAgentClient(conn).RefuseClaim(ctx, &messenger.RefuseClaimRequest{Claim: claim})
			_ = conn.Close()
			if err == nil {
				return answer.GetReply()
			}
			unknown.Detail = err.Error()
		}
		pause(ctx)
		if ctx.Err() != nil {
			b.Log.Emit(time.Now(), logger.CallUnknown, req.ID, logger.F("server", claim.GetServer()), logger.F("detail", unknown.GetDetail()))
			return unknown
		}
	}
}

// settle commits what became of a claim. It is done unless the claim is proven
// not to have run and there is time for another round.
func (b *Booker) settle(ctx context.Context, req Request, claim *messenger.Claim, reply *messenger.CallReply) (done bool, err error) {
	record, cancel := context.WithTimeout(context.WithoutCancel(ctx), recordTimeout)
	defer cancel()
	switch reply.GetRan() {
	case messenger.Ran_RAN_YES:
		// The answer is true even if it can't be recorded now: the agent holds it for
		// whoever asks next.
		if err := b.RecordOutcome(record, claim, reply); err != nil {
			b.Log.Emit(time.Now(), logger.CallUnknown, req.ID, logger.F("notRecorded", err))
		}
		b.Log.Emit(time.Now(), logger.CallAnswered, req.ID, logger.F("server", claim.GetServer()), logger.F("status", reply.GetStatus()))
		return true, nil
	case messenger.Ran_RAN_NO:
		b.Log.Emit(time.Now(), logger.CallNotRun, req.ID, logger.F("server", claim.GetServer()), logger.F("reason", reply.GetReason()))
		if err := b.RecordRefusal(record, claim); err != nil {
			return true, b.notClaimed(req, err)
		}
		if ctx.Err() != nil {
			return true, b.notClaimed(req, errors.New(reply.GetReason().String()))
		}
		return false, nil
	default:
		return true, &UnknownError{Cause: errors.New(reply.GetDetail())}
	}
}
