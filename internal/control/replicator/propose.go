package replicator

import (
	"context"
	"errors"
	"syscall"
	"time"

	"verbenareach/internal/control/recorder"
	"verbenareach/internal/wire/messenger"
)

// retryInterval is the time between two attempts to reach a leader.
const retryInterval = 50 * time.Millisecond

// ConfirmRead returns an index that covers all changes acknowledged before the call, once a
// quorum has confirmed that this host still leads and the index is applied here. It fails
// with NotLeaderError on other hosts.
func (r *Replicator) ConfirmRead(ctx context.Context) (uint64, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.role != leader || !r.running {
		return 0, r.notLeader()
	}
	term := r.term
	leads := func() bool { return r.role == leader && r.term == term }
	if err := r.await(ctx, func() bool { return !leads() || r.commit >= r.firstOfTerm }); err != nil {
		return 0, err
	}
	index := r.commit
	r.round++
	round := r.round
	for _, p := range r.peers {
		p.notify()
	}
	confirmed := func() bool {
		return r.hasQuorum(func(p *peer) bool { return p.ackedRound >= round })
	}
	if err := r.await(ctx, func() bool { return !leads() || confirmed() }); err != nil {
		return 0, err
	}
	if !leads() {
		return 0, r.notLeader()
	}
	return index, r.await(ctx, func() bool { return r.applied >= index })
}

// Confirm is ConfirmRead callable on any host: it forwards the request to the leader and
// waits until the index is applied here.
func (r *Replicator) Confirm(ctx context.Context) (uint64, error) {
	var index uint64
	err := r.withLeader(ctx, func(address string) error {
		if address == "" {
			var err error
			index, err = r.ConfirmRead(ctx)
			return err
		}
		reply, err := r.askLeader(ctx, address, &messenger.PeerRequest{
			Body: &messenger.PeerRequest_ConfirmRead{ConfirmRead: &messenger.ConfirmReadRequest{}},
		})
		index = reply.GetConfirmRead().GetIndex()
		if unknown := new(OutcomeUnknownError); errors.As(err, &unknown) {
			return &NoAnswerError{Address: address, Cause: unknown.Cause}
		}
		return err
	})
	if err != nil {
		return 0, err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return index, r.await(ctx, func() bool { return r.applied >= index })
}

// Propose commits a command and returns its index and the result of Apply, once it is
// applied here. If it fails with NotLeaderError, RefusedError or recorder.FullError, the
// command has no effect; with OutcomeUnknownError it may have one.
func (r *Replicator) Propose(ctx context.Context, command []byte) (index uint64, result []byte, err error) {
	if len(command) > maxCommandBytes {
		return 0, nil, &RefusedError{Reason: "command is too long"}
	}
	r.mu.Lock()
	if !r.running || r.role != leader || r.transferTo != "" {
		err := r.notLeader()
		r.mu.Unlock()
		return 0, nil, err
	}
	if r.diskFull {
		r.mu.Unlock()
		return 0, nil, &recorder.FullError{Cause: syscall.ENOSPC}
	}
	index, err = r.appendAsLeader(messenger.LogEntry_KIND_COMMAND, command)
	if err != nil {
		r.mu.Unlock()
		return 0, nil, err
	}
	w := waiter{term: r.term, done: make(chan outcome, 1)}
	r.waiters[index] = append(r.waiters[index], w)
	r.mu.Unlock()
	select {
	case o := <-w.done:
		return index, o.result, o.err
	case <-ctx.Done():
		return index, nil, &OutcomeUnknownError{Cause: ctx.Err()}
	}
}

// Submit is Propose callable on any host: it forwards the command to the leader, retries
// while no leader takes it and it is known not to be committed, and waits until the index
// is applied here.
func (r *Replicator) Submit(ctx context.Context, command []byte) (index uint64, result []byte, err error) {
	err = r.withLeader(ctx, func(address string) error {
		if address == "" {
			var err error
			index, result, err = r.Propose(ctx, command)
			return err
		}
		reply, err := r.askLeader(ctx, address, &messenger.PeerRequest{
			Body: &messenger.PeerRequest_Propose{Propose: &messenger.ProposeRequest{Command: command}},
		})
		index, result = reply.GetPropose().GetIndex(), reply.GetPropose().GetResult()
		return err
	})
	if err != nil {
		return index, nil, err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	// The command is committed, so it is no error if this host applies it late.
	_ = r.await(ctx, func() bool { return r.applied >= index })
	return index, result, nil
}

// withLeader calls f with the leader's address, empty if this host leads, and retries while
// no leader is known or f fails with NotLeaderError.
func (r *Replicator) withLeader(ctx context.Context, f func(address string) error) error {
	for {
		r.mu.Lock()
		leads, knownLeader, stopped := r.role == leader, r.leader, r.stopped
		r.mu.Unlock()
		if stopped {
			return ErrStopped
		}
		var err error = &NotLeaderError{}
		if leads {
			err = f("")
		} else if knownLeader.Address != "" {
			err = f(knownLeader.Address)
		}
		if notLeader := new(NotLeaderError); !errors.As(err, &notLeader) {
			return err
		}
		select {
		case <-ctx.Done():
			return errors.Join(err, ctx.Err())
		case <-time.After(retryInterval):
		}
	}
}

// await waits until done returns true, the host stops or ctx ends. The caller holds mu,
// which is released while waiting.
func (r *Replicator) await(ctx context.Context, done func() bool) error {
	for {
		if !r.running {
			return ErrStopped
		}
		if done() {
			return nil
		}
		changed := r.changed
		r.mu.Unlock()
		select {
		case <-ctx.Done():
		case <-changed:
		}
		r.mu.Lock()
		if err := ctx.Err(); err != nil {
			return err
		}
	}
}

// failWaiters ends pending proposals up to an index with OutcomeUnknownError, as this host
// can no longer learn their outcome.
func (r *Replicator) failWaiters(upTo uint64, cause error) {
	for index, waiting := range r.waiters {
		if index > upTo {
			continue
		}
		for _, w := range waiting {
			w.done <- outcome{err: &OutcomeUnknownError{Cause: cause}}
		}
		delete(r.waiters, index)
	}
}

func (r *Replicator) notLeader() error {
	if r.role == leader {
		return &NotLeaderError{}
	}
	return &NotLeaderError{Name: r.leader.Name, Address: r.leader.Address}
}
