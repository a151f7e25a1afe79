package controller

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"verbenareach/internal/config/parser"
	"verbenareach/internal/wire/dialer"
	"verbenareach/internal/wire/messenger"
	"verbenareach/internal/wire/pauser"
)

// peers makes calls to the other control hosts, and to agents.
type peers struct {
	// others returns the control hosts other than this one, which can change.
	others func() []parser.Peer
	pool   *dialer.Pool
}

const (
	// peerTimeout bounds a call to another control host or an agent.
	peerTimeout = 1500 * time.Millisecond
	// exchangeRetry is the wait before a broken stream of loads is opened again.
	exchangeRetry = 2 * time.Second
)

func newPeers(others func() []parser.Peer) *peers {
	return &peers{others: others, pool: dialer.New()}
}

// markAgent sends a mark to the agent at address.
func (p *peers) markAgent(ctx context.Context, address string, m *messenger.MarkRequest) (reply *messenger.MarkReply, err error) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	conn := p.pool.Conn(ctx, address)
	defer func() { err = errors.Join(err, conn.Close()) }()
	return messenger.NewDRPCAgentClient(conn).Mark(ctx, m)
}

// callEach calls all other control hosts concurrently and returns the names of
// those that failed, sorted.
func (p *peers) callEach(ctx context.Context, call func(context.Context, parser.Peer, messenger.DRPCControlClient) error) []string {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	var (
		mu     sync.Mutex
		failed []string
		wg     sync.WaitGroup
	)
	for _, peer := range p.others() {
		wg.Go(func() {
			conn := p.pool.Conn(ctx, peer.Address)
			err := errors.Join(call(ctx, peer, messenger.NewDRPCControlClient(conn)), conn.Close())
			if err != nil {
				mu.Lock()
				defer mu.Unlock()
				failed = append(failed, peer.Name)
			}
		})
	}
	wg.Wait()
	slices.Sort(failed)
	return failed
}

// followers returns the followers of the other control hosts, and the names of the
// hosts that failed, sorted.
func (p *peers) followers(ctx context.Context) (replies []*messenger.FollowersReply, unreachable []string) {
	var mu sync.Mutex
	unreachable = p.callEach(ctx, func(ctx context.Context, _ parser.Peer, client messenger.DRPCControlClient) error {
		reply, err := client.Followers(ctx, &messenger.FollowersRequest{})
		if err != nil {
			return err
		}
		mu.Lock()
		defer mu.Unlock()
		replies = append(replies, reply)
		return nil
	})
	return replies, unreachable
}

// pushMark sends an agent its mark through all other control hosts, and returns one
// of the answers.
func (p *peers) pushMark(ctx context.Context, r *messenger.PushMarkRequest) (*messenger.PushMarkReply, error) {
	var (
		mu     sync.Mutex
		answer *messenger.PushMarkReply
	)
	p.callEach(ctx, func(ctx context.Context, _ parser.Peer, client messenger.DRPCControlClient) error {
		reply, err := client.PushMark(ctx, r)
		if err != nil {
			return err
		}
		mu.Lock()
		defer mu.Unlock()
		answer = reply
		return nil
	})
	if answer == nil {
		return nil, eris.New("no control host reached the agent")
	}
	return answer, nil
}

// exchangeLoads forwards loads to all other control hosts until ctx ends, including
// those added later. It calls send with each stream that it opens.
func (p *peers) exchangeLoads(ctx context.Context, send func(context.Context, messenger.DRPCControl_ExchangeClient) error) {
	var wg sync.WaitGroup
	defer wg.Wait()
	// open has the addresses with a stream; each goroutine removes its own.
	var mu sync.Mutex
	open := make(map[string]bool)
	for {
		for _, peer := range p.others() {
			mu.Lock()
			busy := open[peer.Address]
			open[peer.Address] = true
			mu.Unlock()
			if busy {
				continue
			}
			wg.Go(func() {
				if err := p.exchangeLoadsOnce(ctx, peer, send); err != nil && ctx.Err() == nil {
					pauser.Pause(ctx, exchangeRetry)
				}
				mu.Lock()
				defer mu.Unlock()
				delete(open, peer.Address)
			})
		}
		pauser.Pause(ctx, exchangeRetry)
		if ctx.Err() != nil {
			return
		}
	}
}

func (p *peers) exchangeLoadsOnce(
	ctx context.Context, peer parser.Peer, send func(context.Context, messenger.DRPCControl_ExchangeClient) error,
) (err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	conn := p.pool.Conn(ctx, peer.Address)
	defer func() { err = errors.Join(err, conn.Close()) }()
	stream, err := messenger.NewDRPCControlClient(conn).Exchange(ctx)
	if err != nil {
		return eris.Wrap(err, "exchange")
	}
	return send(ctx, stream)
}
