package follower

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"verbenareach/internal/wire/messenger"
	"verbenareach/internal/wire/pauser"
)

// UnavailableError is returned if the context ended before a control host answered
// without an error. Whether the call took effect is unknown; the same call may be
// sent again.
type UnavailableError struct {
	// Causes has one error for each attempt.
	Causes []error
}

const (
	// attemptTimeout bounds a call to one control host before the next is tried, and
	// the delivery of a relayed mark.
	attemptTimeout = 2 * time.Second
)

var _ error = &UnavailableError{}

// Error returns a message with the last attempt's error.
func (e *UnavailableError) Error() string {
	if len(e.Causes) == 0 {
		return "no control host answered"
	}
	return "no control host answered: " + e.Causes[len(e.Causes)-1].Error()
}

// Unwrap returns the attempts' errors.
func (e *UnavailableError) Unwrap() error {
	return errors.Join(e.Causes...)
}

// Claim requests the right to run a non-repeatable call once. Claimant in r is
// unique for each attempt of the caller: after an UnavailableError the same request
// may be sent again and gets the same answer. Only a reply with status GRANTED
// permits a dispatch, and only of the claim in the reply, which may name another
// server than the request. Claim tries all control hosts until ctx ends.
func (f *Follower) Claim(ctx context.Context, r *messenger.ClaimRequest) (*messenger.ClaimReply, error) {
	var reply *messenger.ClaimReply
	err := f.call(ctx, func(ctx context.Context, client messenger.DRPCControlClient) (err error) {
		reply, err = client.Claim(ctx, r)
		return err
	})
	return reply, err
}

// Fence requests the next fencing number of a backend server. Like all calls below,
// it tries the control hosts as Claim does.
func (f *Follower) Fence(ctx context.Context, r *messenger.FenceRequest) (*messenger.FenceReply, error) {
	var reply *messenger.FenceReply
	err := f.call(ctx, func(ctx context.Context, client messenger.DRPCControlClient) (err error) {
		reply, err = client.Fence(ctx, r)
		return err
	})
	return reply, err
}

// FinishLoad releases a weight-store permit after a load.
func (f *Follower) FinishLoad(ctx context.Context, r *messenger.FinishLoadRequest) error {
	return f.call(ctx, func(ctx context.Context, client messenger.DRPCControlClient) error {
		_, err := client.FinishLoad(ctx, r)
		return err
	})
}

// RecordOutcome commits the answer of a claimed call. Only the first outcome of a
// claim is kept; the reply has it.
func (f *Follower) RecordOutcome(ctx context.Context, claim *messenger.Claim, outcome *messenger.CallReply) (*messenger.ClaimReply, error) {
	var reply *messenger.ClaimReply
	err := f.call(ctx, func(ctx context.Context, client messenger.DRPCControlClient) (err error) {
		reply, err = client.RecordOutcome(ctx, &messenger.OutcomeRequest{Claim: claim, Outcome: outcome})
		return err
	})
	return reply, err
}

// RefuseClaim commits that the claim's agent has recorded it as never to run.
// Call it only after the agent has answered RAN_NO.
func (f *Follower) RefuseClaim(ctx context.Context, claim *messenger.Claim) (*messenger.ClaimReply, error) {
	var reply *messenger.ClaimReply
	err := f.call(ctx, func(ctx context.Context, client messenger.DRPCControlClient) (err error) {
		reply, err = client.RecordRefusal(ctx, &messenger.RefusalRequest{Claim: claim})
		return err
	})
	return reply, err
}

// call calls do for one control host after another, from the followed one on, until
// one answers without an error or ctx ends. Every call may be repeated: a repeated
// Fence at most uses up a number.
func (f *Follower) call(ctx context.Context, do func(context.Context, messenger.DRPCControlClient) error) error {
	f.init()
	failed := &UnavailableError{}
	wait := firstRetry
	for {
		for _, address := range f.hostOrder() {
			conn := f.pool.Conn(ctx, address)
			attempt, cancel := context.WithTimeout(ctx, attemptTimeout)
			err := do(attempt, messenger.NewDRPCControlClient(conn))
			cancel()
			err = errors.Join(err, conn.Close())
			if err == nil {
				return nil
			}
			failed.Causes = append(failed.Causes, eris.Wrap(err, address))
			if ctx.Err() != nil {
				return failed
			}
		}
		pauser.Pause(ctx, wait)
		wait = min(2*wait, maxRetry)
		if ctx.Err() != nil {
			return failed
		}
	}
}

// hostOrder returns the addresses of all control hosts in the order of Addresses,
// rotated so that the followed one comes first.
func (f *Follower) hostOrder() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	i := max(slices.Index(f.Addresses, f.current), 0)
	return slices.Concat(f.Addresses[i:], f.Addresses[:i])
}

// relay sends a mark to an agent for the control host, and queues the agent's
// answer or the error for it.
func (f *Follower) relay(ctx context.Context, m *messenger.RelayMark) {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	relayMark := f.RelayMark
	if relayMark == nil {
		relayMark = f.relayDirectly
	}
	answer := &messenger.RelayedMark{Id: m.GetId()}
	reply, err := relayMark(ctx, m.GetAddress(), m.GetMark())
	if err != nil {
		answer.Error = err.Error()
	} else {
		answer.Reply = reply
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.relayReplies = append(f.relayReplies, answer)
	f.wake()
}

func (f *Follower) relayDirectly(ctx context.Context, address string, m *messenger.MarkRequest) (*messenger.MarkReply, error) {
	conn := f.pool.Conn(ctx, address)
	reply, err := messenger.NewDRPCAgentClient(conn).Mark(ctx, m)
	return reply, errors.Join(err, conn.Close())
}
