package controller

import (
	"context"
	"errors"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcpool"

	"verbenareach/internal/config/parser"
	"verbenareach/internal/wire/messenger"
)

// peers are the other control hosts.
type peers struct {
	others []parser.Peer
	pool   *drpcpool.Pool[string, drpcpool.Conn]
}

const (
	// peerTimeout bounds a call to another control host or an agent.
	peerTimeout    = 1500 * time.Millisecond
	poolExpiration = time.Minute
	poolCapacity   = 256
	// exchangeRetry is the wait before a broken stream of loads is opened again.
	exchangeRetry = 2 * time.Second
)

func newPeers(self string, all []parser.Peer) *peers {
	p := &peers{pool: drpcpool.New[string, drpcpool.Conn](drpcpool.Options{
		Expiration: poolExpiration, Capacity: poolCapacity, KeyCapacity: 4,
	})}
	for _, peer := range all {
		if peer.Name != self {
			p.others = append(p.others, peer)
		}
	}
	return p
}

// agent calls the agent at address.
func (p *peers) agent(ctx context.Context, address string, m *messenger.MarkRequest) (reply *messenger.MarkReply, err error) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	conn := p.pool.Get(ctx, address, dial)
	defer func() { err = errors.Join(err, conn.Close()) }()
	return messenger.NewDRPCAgentClient(conn).Mark(ctx, m)
}

// each calls every other control host at once and returns the names of those
// that failed, sorted.
func (p *peers) each(ctx context.Context, call func(context.Context, parser.Peer, messenger.DRPCControlClient) error) []string {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	var (
		mu     sync.Mutex
		failed []string
		wg     sync.WaitGroup
	)
	for _, peer := range p.others {
		wg.Go(func() {
			conn := p.pool.Get(ctx, peer.Address, dial)
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

// followers asks the other control hosts for their followers.
func (p *peers) followers(ctx context.Context) (replies []*messenger.FollowersReply, unreachable []string) {
	var mu sync.Mutex
	unreachable = p.each(ctx, func(ctx context.Context, _ parser.Peer, client messenger.DRPCControlClient) error {
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

// pushMark has the other control hosts tell an agent of its mark, and returns
// the first answer.
func (p *peers) pushMark(ctx context.Context, r *messenger.PushMarkRequest) (*messenger.PushMarkReply, error) {
	answers := make(chan *messenger.PushMarkReply, len(p.others))
	p.each(ctx, func(ctx context.Context, _ parser.Peer, client messenger.DRPCControlClient) error {
		reply, err := client.PushMark(ctx, r)
		if err == nil {
			answers <- reply
		}
		return err
	})
	select {
	case reply := <-answers:
		return reply, nil
	default:
		return nil, eris.New("no control host reached the agent")
	}
}

// exchange passes loads on to one other control host until ctx ends.
func (p *peers) exchange(ctx context.Context, peer parser.Peer, send func(context.Context, messenger.DRPCControl_ExchangeClient) error) {
	for ctx.Err() == nil {
		if err := p.exchangeOnce(ctx, peer, send); err == nil {
			return
		}
		select {
		case <-ctx.Done():
		case <-time.After(exchangeRetry):
		}
	}
}

func (p *peers) exchangeOnce(
	ctx context.Context, peer parser.Peer, send func(context.Context, messenger.DRPCControl_ExchangeClient) error,
) (err error) {
	conn, err := dial(ctx, peer.Address)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, conn.Close()) }()
	stream, err := messenger.NewDRPCControlClient(conn).Exchange(ctx)
	if err != nil {
		return eris.Wrap(err, "exchange")
	}
	return send(ctx, stream)
}

func dial(ctx context.Context, address string) (drpcpool.Conn, error) {
	d := net.Dialer{Timeout: peerTimeout}
	tr, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, eris.Wrap(err, "dial")
	}
	return drpcconn.New(tr), nil
}
