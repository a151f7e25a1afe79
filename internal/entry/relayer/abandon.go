package relayer

import (
	"context"
	"errors"
	"net"
	"time"

	"verbenareach/internal/wire/messenger"
)

// abandon informs the agent at target that its attempt was replaced by another one, so
// that it frees the engine's memory. An agent that can't be reached is tried again, unless
// the pool is closed.
func (r *Relayer) abandon(ctx context.Context, target Target, req *messenger.AbandonRequest) {
	backoff := abandonBackoff
	for range abandonTries {
		err := r.abandonOnce(ctx, target, req)
		if err == nil || errors.Is(err, net.ErrClosed) {
			return
		}
		time.Sleep(backoff)
		backoff *= 2
	}
}

func (r *Relayer) abandonOnce(ctx context.Context, target Target, req *messenger.AbandonRequest) error {
	ctx, cancel := context.WithTimeout(ctx, abandonTimeout)
	defer cancel()
	conn := r.Pool.Conn(ctx, target.Address)
	_, err := messenger.NewDRPCAgentClient(conn).Abandon(ctx, req)
	return errors.Join(err, conn.Close())
}
