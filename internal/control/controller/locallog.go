package controller

import (
	"context"
	"sync"
)

// localLog is the in-memory command log of a host that does not replicate.
type localLog struct {
	// apply applies one command.
	apply func(index uint64, command []byte) []byte

	mu    sync.Mutex
	index uint64
}

func (l *localLog) confirm(ctx context.Context) (uint64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.index, ctx.Err()
}

func (l *localLog) propose(ctx context.Context, command []byte) (uint64, []byte, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if err := ctx.Err(); err != nil {
		return 0, nil, err
	}
	l.index++
	return l.index, l.apply(l.index, command), nil
}
