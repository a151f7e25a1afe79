package controller

import (
	"context"

	"verbenareach/internal/control/registrar"
)

// Propose commits a command and returns its result once it is applied on this host,
// within proposeTimeout. After an error the command may be committed all the same.
func (c *Controller) Propose(ctx context.Context, command registrar.Command) (registrar.Result, error) {
	data, err := command.Encode()
	if err != nil {
		return registrar.Result{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	index, encoded, err := c.propose(ctx, data)
	if err != nil {
		return registrar.Result{}, err
	}
	result, err := registrar.DecodeResult(encoded)
	if err != nil {
		return registrar.Result{}, err
	}
	return result, c.distributor.WaitFor(ctx, index)
}

// apply applies one committed command and publishes its changes.
func (c *Controller) apply(index uint64, command []byte) []byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	result, changes := c.state.Apply(index, command)
	c.distributor.Publish(c.state.View(), changes)
	return result
}

// barrier returns once every command committed before the call is applied on this
// host.
func (c *Controller) barrier(ctx context.Context) error {
	_, err := c.confirmRead(ctx)
	return err
}

// confirmRead makes a quorum read and returns its index. That may be above the index
// of the last command, so the distributor's view is advanced to it.
func (c *Controller) confirmRead(ctx context.Context) (uint64, error) {
	index, err := c.confirm(ctx)
	if err != nil {
		return 0, err
	}
	c.distributor.Advance(index)
	return index, nil
}

// history returns a contract's changes, oldest first.
func (c *Controller) history(workspace string) []registrar.Record {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state.History(workspace)
}

// restore replaces the state by that of a snapshot.
func (c *Controller) restore(_ uint64, data []byte) error {
	state, err := registrar.Restore(data)
	if err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.state = state
	c.distributor.Reset(state.View())
	return nil
}

// snapshot returns the encoded state after the last applied command.
func (c *Controller) snapshot() ([]byte, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state.Snapshot()
}

// ticks returns the number of the newest tick of the replicated clock.
func (c *Controller) ticks() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state.Ticks()
}
