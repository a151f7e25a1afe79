package replicator

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"time"

	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcpool"
	"storj.io/drpc/drpcserver"
	"storj.io/drpc/drpcwire"

	"verbenareach/internal/wire/dialer"
	"verbenareach/internal/wire/messenger"
)

type (
	// Transport carries messages and questions to other control hosts over drpc:
	// one stream for the messages to each host, and a few connections for questions.
	// Its methods Send and Ask fit the fields of Replicator.
	Transport struct {
		// Timeout bounds a dial and each write, by default 1 s.
		Timeout time.Duration

		mu      sync.Mutex
		streams map[string]*stream
		pool    *drpcpool.Pool[string, drpcpool.Conn]
	}

	// Service answers other control hosts' calls.
	Service struct {
		Replicator *Replicator
	}

	// stream carries messages to one address. Its lock is held while one is sent.
	stream struct {
		mu   sync.Mutex
		conn *drpcconn.Conn
		open messenger.DRPCPeers_ExchangeClient
	}
)

var _ messenger.DRPCPeersServer = &Service{}

const (
	defaultTimeout = time.Second
	// maxMessageBytes bounds a message between hosts.
	maxMessageBytes = 16 << 20
	// idlePerHost and idleFor bound the connections kept for questions.
	idlePerHost = 16
	idleFor     = time.Minute
)

// ServerOptions returns the options of a drpc server that takes messages as large
// as control hosts send.
func ServerOptions() drpcserver.Options {
	return drpcserver.Options{Manager: managerOptions()}
}

func managerOptions() drpcmanager.Options {
	return drpcmanager.Options{Reader: drpcwire.ReaderOptions{MaximumBufferSize: maxMessageBytes}}
}

// Ask asks the host at an address. It fails with NotSentError if no connection
// could be made.
func (t *Transport) Ask(ctx context.Context, address string, req *messenger.PeerRequest) (*messenger.PeerReply, error) {
	t.mu.Lock()
	if t.pool == nil {
		t.pool = drpcpool.New[string, drpcpool.Conn](drpcpool.Options{Expiration: idleFor, KeyCapacity: idlePerHost})
	}
	pool := t.pool
	t.mu.Unlock()
	var unsent error
	conn := pool.Get(ctx, address, func(ctx context.Context, address string) (drpcpool.Conn, error) {
		conn, err := t.dial(ctx, address)
		if err != nil {
			unsent = &NotSentError{Cause: err}
			return nil, unsent
		}
		return conn, nil
	})
	reply, err := messenger.NewDRPCPeersClient(conn).Ask(ctx, req)
	if unsent != nil {
		return nil, unsent
	}
	return reply, errors.Join(err, conn.Close())
}

// Close closes all connections.
func (t *Transport) Close() error {
	t.mu.Lock()
	defer t.mu.Unlock()
	var errs []error
	for _, s := range t.streams {
		s.mu.Lock()
		errs = append(errs, s.close())
		s.mu.Unlock()
	}
	if t.pool != nil {
		errs = append(errs, t.pool.Close())
	}
	return errors.Join(errs...)
}

// Send sends a message to the host at an address. It may be lost without an error.
func (t *Transport) Send(ctx context.Context, address string, m *messenger.PeerMessage) error {
	t.mu.Lock()
	if t.streams == nil {
		t.streams = make(map[string]*stream)
	}
	s := t.streams[address]
	if s == nil {
		s = new(stream)
		t.streams[address] = s
	}
	t.mu.Unlock()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.open == nil {
		if err := t.openStream(ctx, s, address); err != nil {
			return err
		}
	}
	if err := s.open.Send(m); err != nil {
		return errors.Join(err, s.close())
	}
	return nil
}

// Ask answers a question.
func (s *Service) Ask(ctx context.Context, req *messenger.PeerRequest) (*messenger.PeerReply, error) {
	return s.Replicator.Answer(ctx, req), nil
}

// Exchange takes the messages of one host until its stream ends.
func (s *Service) Exchange(stream messenger.DRPCPeers_ExchangeStream) error {
	for {
		m, err := stream.Recv()
		if errors.Is(err, io.EOF) {
			return stream.SendAndClose(&messenger.ExchangeReply{})
		}
		if err != nil {
			return err
		}
		s.Replicator.Receive(m)
	}
}

func (s *stream) close() error {
	if s.conn == nil {
		return nil
	}
	err := s.conn.Close()
	s.conn, s.open = nil, nil
	return err
}

func (t *Transport) dial(ctx context.Context, address string) (*drpcconn.Conn, error) {
	timeout := t.Timeout
	if timeout == 0 {
		timeout = defaultTimeout
	}
	d := net.Dialer{Timeout: timeout}
	conn, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return drpcconn.NewWithOptions(dialer.TimedConn{Conn: conn, Timeout: timeout}, drpcconn.Options{Manager: managerOptions()}), nil
}

// openStream opens a stream that lives on after the message it is opened for; ctx is
// that of the peer's goroutine.
func (t *Transport) openStream(ctx context.Context, s *stream, address string) error {
	conn, err := t.dial(ctx, address)
	if err != nil {
		return err
	}
	open, err := messenger.NewDRPCPeersClient(conn).Exchange(context.WithoutCancel(ctx))
	if err != nil {
		return errors.Join(err, conn.Close())
	}
	s.conn, s.open = conn, open
	return nil
}
