package booker

import (
	"context"
	"errors"
	"fmt"
	"time"

	"verbenareach/internal/event/logger"
	"verbenareach/internal/wire/messenger"
	"verbenareach/internal/wire/pauser"
)

// callOnce makes a non-repeatable call: claim, dispatch, record. Each round is one epoch
// of the claim; the next one starts only if the call provably did not run in this one.
func (b *Booker) callOnce(ctx context.Context, req Request) (*messenger.CallReply, error) {
	var avoid []Target
	afterEpoch := uint32(0)
	for {
		target, err := b.Choose(ctx, time.Now(), req.Service, avoid)
		if err != nil {
			return nil, b.claimError(req, err)
		}
		answer, err := b.Claim(ctx, &messenger.ClaimRequest{
			Claim: &messenger.Claim{
				Workspace: req.Workspace, Key: req.Key, Digest: req.Digest(),
				Server: target.Server, Incarnation: target.Incarnation, Epoch: afterEpoch + 1,
			},
			Claimant: fmt.Sprintf("%s/%d", req.ID, afterEpoch+1), AfterEpoch: afterEpoch,
		})
		if err != nil {
			b.Release(target)
			return nil, b.claimError(req, err)
		}
		reply, err := b.handleClaim(ctx, req, target, answer)
		if answer.GetStatus() == messenger.ClaimStatus_CLAIM_STATUS_GRANTED {
			b.Report(time.Now(), target, reply.GetRan() == messenger.Ran_RAN_YES)
		} else {
			b.Release(target)
		}
		if err != nil || reply.GetRan() == messenger.Ran_RAN_YES {
			return reply, err
		}
		afterEpoch = answer.GetClaim().GetEpoch()
		avoid = append(avoid, target)
	}
}

// handleClaim continues a call according to control's answer to its claim. A reply with
// RAN_NO and no error means that the next epoch may be claimed.
func (b *Booker) handleClaim(ctx context.Context, req Request, target Target, answer *messenger.ClaimReply) (*messenger.CallReply, error) {
	switch answer.GetStatus() {
	case messenger.ClaimStatus_CLAIM_STATUS_GRANTED:
		b.Log.Emit(time.Now(), logger.ClaimGranted, req.ID, logger.F("key", req.Key), logger.F("server", answer.GetClaim().GetServer()),
			logger.F("epoch", answer.GetClaim().GetEpoch()))
		return b.recordResult(ctx, req, answer.GetClaim(), b.dispatch(ctx, req, target, answer.GetClaim()))
	case messenger.ClaimStatus_CLAIM_STATUS_PENDING:
		return b.recordResult(ctx, req, answer.GetClaim(), b.resolve(ctx, req, answer.GetClaim()))
	case messenger.ClaimStatus_CLAIM_STATUS_DONE:
		b.Log.Emit(time.Now(), logger.ClaimReplayed, req.ID, logger.F("key", req.Key))
		return finalOutcome(answer.GetOutcome())
	case messenger.ClaimStatus_CLAIM_STATUS_REFUSED:
		return &messenger.CallReply{Ran: messenger.Ran_RAN_NO}, nil
	case messenger.ClaimStatus_CLAIM_STATUS_CONFLICT:
		b.Log.Emit(time.Now(), logger.ClaimConflict, req.ID, logger.F("key", req.Key))
		return nil, &ConflictError{Key: req.Key}
	default:
		return nil, b.claimError(req, errors.New(answer.GetStatus().String()))
	}
}

// finalOutcome returns the outcome of a claim that is done. An outcome that does not say that the
// call ran, as earlier versions may have committed, is an UnknownError: it never changes.
func finalOutcome(outcome *messenger.CallReply) (*messenger.CallReply, error) {
	if outcome.GetRan() != messenger.Ran_RAN_YES {
		return nil, &UnknownError{Cause: fmt.Errorf("the outcome is recorded as %s", outcome.GetRan())}
	}
	return outcome, nil
}

// dispatch sends a claimed call once, to the server that the claim names, which may not be
// target. If there is no answer, or none that says whether the call ran, it resolves the
// claim.
func (b *Booker) dispatch(ctx context.Context, req Request, target Target, claim *messenger.Claim) *messenger.CallReply {
	if claim.GetServer() != target.Server || claim.GetIncarnation() != target.Incarnation {
		address, known := b.AddressOf(claim.GetServer())
		if !known {
			return b.resolve(ctx, req, claim)
		}
		target = Target{Server: claim.GetServer(), Address: address, Incarnation: claim.GetIncarnation()}
	}
	reply, err := b.send(ctx, req, target, claim)
	if err == nil && reply.GetRan() != messenger.Ran_RAN_UNKNOWN {
		return reply
	}
	return b.resolve(ctx, req, claim)
}

// claimError returns the error for a failure before the dispatch: a NotRunError, or an
// UnknownError if the caller may have sent the same key through another entry.
func (b *Booker) claimError(req Request, cause error) error {
	return callError(req.KeyFromCaller, cause)
}

// resolve asks the claim's agent to refuse the claim or else return its outcome. After
// resolveTimeout the reply is RAN_UNKNOWN.
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
		pauser.Pause(ctx, b.Backoff.Pause(3)) // Always the pause of a third retry.
		if ctx.Err() != nil {
			b.Log.Emit(time.Now(), logger.CallUnknown, req.ID, logger.F("server", claim.GetServer()), logger.F("detail", unknown.GetDetail()))
			return unknown
		}
	}
}

// recordResult commits the outcome of a claim. A reply with RAN_NO and no error means
// that the refusal is committed and there is time for another round. A reply with
// RAN_UNKNOWN is not committed and gives an UnknownError.
func (b *Booker) recordResult(ctx context.Context, req Request, claim *messenger.Claim, reply *messenger.CallReply) (*messenger.CallReply, error) {
	recordCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), recordTimeout)
	defer cancel()
	switch reply.GetRan() {
	case messenger.Ran_RAN_YES:
		// The answer is valid even if it can't be recorded now: the agent keeps it for
		// the next entry that resolves the claim.
		if _, err := b.RecordOutcome(recordCtx, claim, reply); err != nil {
			b.Log.Emit(time.Now(), logger.CallUnknown, req.ID, logger.F("notRecorded", err))
		}
		b.Log.Emit(time.Now(), logger.CallAnswered, req.ID, logger.F("server", claim.GetServer()), logger.F("status", reply.GetStatus()))
		return reply, nil
	case messenger.Ran_RAN_NO:
		b.Log.Emit(time.Now(), logger.CallNotRun, req.ID, logger.F("server", claim.GetServer()), logger.F("reason", reply.GetReason()))
		recorded, err := b.RecordRefusal(recordCtx, claim)
		if err != nil {
			return nil, b.claimError(req, err)
		}
		if recorded.GetStatus() == messenger.ClaimStatus_CLAIM_STATUS_DONE {
			return finalOutcome(recorded.GetOutcome())
		}
		if ctx.Err() != nil {
			return nil, b.claimError(req, errors.New(reply.GetReason().String()))
		}
		return reply, nil
	default:
		return nil, &UnknownError{Cause: errors.New(reply.GetDetail())}
	}
}
