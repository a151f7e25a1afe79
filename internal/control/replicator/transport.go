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

	"verbenareach/internal/event/logger"
	"verbenareach/internal/wire/dialer"
	"verbenareach/internal/wire/messenger"
)

type (
	// Transport sends messages and requests to other control hosts over drpc: one
	// stream of messages to each host, and a pool of connections for requests.
	// Its methods Send and Ask fit the Replicator fields of the same names.
	Transport struct {
		// Timeout bounds a dial and each write, by default 1 s. Only the context bounds
		// the wait for the reply to a request.
		Timeout time.Duration
		// Log receives the events; nil for none.
		Log *logger.Logger

		mu      sync.Mutex
		streams map[string]*stream
		pool    *drpcpool.Pool[string, drpcpool.Conn]
	}

	// Service handles the RPCs of other control hosts.
	Service struct {
		Replicator *Replicator
	}

	// stream sends messages to one address. mu is held during each send.
	stream struct {
		mu     sync.Mutex
		conn   *drpcconn.Conn
		client messenger.DRPCPeers_ExchangeClient
		// openedAt is when the stream was opened. failing is set from the first failure to open
		// it until it is open.
		openedAt time.Time
		failing  bool
	}
)

var _ messenger.DRPCPeersServer = &Service{}

const (
	defaultTimeout = time.Second
	// maxMessageBytes bounds a message between control hosts, in bytes.
	maxMessageBytes = 16 << 20
	// maxIdlePerHost and idleTimeout bound the pooled connections for requests.
	maxIdlePerHost = 16
	idleTimeout    = time.Minute
)

// ServerOptions returns the options of a drpc server that accepts the largest
// message that control hosts send.
func ServerOptions() drpcserver.Options {
	return drpcserver.Options{Manager: managerOptions()}
}

func managerOptions() drpcmanager.Options {
	return drpcmanager.Options{Reader: drpcwire.ReaderOptions{MaximumBufferSize: maxMessageBytes}}
}

// Ask sends a request to the host at an address and returns the reply. It fails
// with NotSentError if no connection could be made.
func (t *Transport) Ask(ctx context.Context, address string, req *messenger.PeerRequest) (*messenger.PeerReply, error) {
	t.mu.Lock()
	if t.pool == nil {
		t.pool = drpcpool.New[string, drpcpool.Conn](drpcpool.Options{Expiration: idleTimeout, KeyCapacity: maxIdlePerHost})
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

// Send sends a message to the host at an address. The message may be lost without an
// error. After an error the next Send connects again.
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
	if s.client == nil {
		if err := t.openStream(ctx, s, address); err != nil {
			return err
		}
	}
	if err := s.client.Send(m); err != nil {
		t.Log.Emit(time.Now(), logger.ControlStreamClosed, "", logger.F("address", address),
			logger.F("age", time.Since(s.openedAt).Round(time.Millisecond)), logger.F("error", err))
		return errors.Join(err, s.close())
	}
	return nil
}

// Ask handles a request from another control host. The reply holds any failure; the error
// is always nil.
func (s *Service) Ask(ctx context.Context, req *messenger.PeerRequest) (*messenger.PeerReply, error) {
	return s.Replicator.Answer(ctx, req), nil
}

// Exchange receives the messages of one host until its stream ends.
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
	s.conn, s.client = nil, nil
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
	return drpcconn.NewWithOptions(dialer.WriteTimeoutConn{Conn: conn, Timeout: timeout}, drpcconn.Options{Manager: managerOptions()}), nil
}

// openStream connects s to the host at an address. The stream outlives ctx: ctx ends with
// the peer's send goroutine, but later messages to the address reuse the stream.
func (t *Transport) openStream(ctx context.Context, s *stream, address string) error {
	conn, err := t.dial(ctx, address)
	var client messenger.DRPCPeers_ExchangeClient
	if err == nil {
		client, err = messenger.NewDRPCPeersClient(conn).Exchange(context.WithoutCancel(ctx))
		if err != nil {
			err = errors.Join(err, conn.Close())
		}
	}
	if err == nil || !s.failing {
		t.Log.Emit(time.Now(), logger.ControlStreamOpened, "", logger.F("address", address), logger.F("error", err))
	}
	s.failing = err != nil
	if err != nil {
		return err
	}
	s.conn, s.client, s.openedAt = conn, client, time.Now()
	return nil
}
