package replicator

import (
	"context"
	"errors"
	"syscall"
	"time"

	"verbenareach/internal/control/recorder"
	"verbenareach/internal/wire/messenger"
)

// retryPause is the time between two tries to reach a leader.
const retryPause = 50 * time.Millisecond

// ConfirmRead returns an index that holds all changes acknowledged before the call,
// once a quorum has confirmed that this host still leads and the index is
// applied here. It fails with NotLeaderError on other hosts.
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
		p.poke()
	}
	confirmed := func() bool {
		return r.quorum(func(p *peer) bool { return p.ackedRound >= round })
	}
	if err := r.await(ctx, func() bool { return !leads() || confirmed() }); err != nil {
		return 0, err
	}
	if !leads() {
		return 0, r.notLeader()
	}
	return index, r.await(ctx, func() bool { return r.applied >= index })
}

// Confirm is ConfirmRead on any host: it asks the leader, and waits until the
// index is applied here.
func (r *Replicator) Confirm(ctx context.Context) (uint64, error) {
	var index uint64
	err := r.atLeader(ctx, func(address string) error {
		if address == "" {
			var err error
			index, err = r.ConfirmRead(ctx)
			return err
		}
		reply, err := r.ask(ctx, address, &messenger.PeerRequest{
			Body: &messenger.PeerRequest_ConfirmRead{ConfirmRead: &messenger.ConfirmReadRequest{}},
		})
		index = reply.GetConfirmRead().GetIndex()
		if unknown := new(OutcomeUnknownError); errors.As(err, &unknown) {
			return &NotLeaderError{} // A read may be asked for again.
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

// Propose has a command committed and returns its index and the result of Apply,
// once it is applied here. With NotLeaderError, RefusedError and
// recorder.FullError the command has no effect; with OutcomeUnknownError it may have one.
func (r *Replicator) Propose(ctx context.Context, command []byte) (index uint64, result []byte, err error) {
	if len(command) > maxCommand {
		return 0, nil, &RefusedError{Reason: "command is too long"}
	}
	r.mu.Lock()
	if !r.running || r.role != leader || r.transferTo != "" {
		err := r.notLeader()
		r.mu.Unlock()
		return 0, nil, err
	}
	if r.full {
		r.mu.Unlock()
		return 0, nil, &recorder.FullError{Cause: syscall.ENOSPC}
	}
	index, err = r.appendOwn(messenger.LogEntry_KIND_COMMAND, command)
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

// Submit is Propose on any host: it passes the command to the leader, tries
// again while none is known and the command is proven not to be committed, and
// waits until the index is applied here.
func (r *Replicator) Submit(ctx context.Context, command []byte) (index uint64, result []byte, err error) {
	err = r.atLeader(ctx, func(address string) error {
		if address == "" {
			var err error
			index, result, err = r.Propose(ctx, command)
			return err
		}
		reply, err := r.ask(ctx, address, &messenger.PeerRequest{
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
	// The command is committed, so a late host is no reason to fail.
	_ = r.await(ctx, func() bool { return r.applied >= index })
	return index, result, nil
}

// atLeader calls f with the leader's address, empty if this host leads, again and
// again while f fails with NotLeaderError.
func (r *Replicator) atLeader(ctx context.Context, f func(address string) error) error {
	for {
		r.mu.Lock()
		leads, known, stopped := r.role == leader, r.leader, r.stopped
		r.mu.Unlock()
		if stopped {
			return ErrStopped
		}
		var err error = &NotLeaderError{}
		if leads {
			err = f("")
		} else if known.Address != "" {
			err = f(known.Address)
		}
		if elsewhere := new(NotLeaderError); !errors.As(err, &elsewhere) {
			return err
		}
		select {
		case <-ctx.Done():
			return errors.Join(err, ctx.Err())
		case <-time.After(retryPause):
		}
	}
}

// await waits until done holds, the host stops or ctx ends. It gives mu up meanwhile.
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

// dropWaiters ends the waiting for proposals up to an index, whose outcome can't be
// known here any more.
func (r *Replicator) dropWaiters(upTo uint64, cause error) {
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
