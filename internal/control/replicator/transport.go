package replicator

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcctx"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcserver"
	"storj.io/drpc/drpcwire"

	"verbenareach/internal/event/logger"
	"verbenareach/internal/wire/acceptor"
	"verbenareach/internal/wire/dialer"
	"verbenareach/internal/wire/messenger"
)

type (
	// Transport sends messages and requests to other control hosts over drpc: one
	// stream of messages to each host, and a pool of connections for requests.
	// Its methods Send and Ask fit the Replicator fields of the same names.
	Transport struct {
		// Log receives the events; nil for none.
		Log *logger.Logger

		mu sync.Mutex
		// routes holds the connections of the streams by the address of the other host.
		routes map[string]*route
		closed bool
		// receiving counts the streams that this host opened until they have ended.
		receiving sync.WaitGroup
		pool      *dialer.Pool
	}

	// Service handles the RPCs of other control hosts.
	Service struct {
		Replicator *Replicator
		Transport  *Transport
	}
)

var _ messenger.DRPCPeersServer = &Service{}

// maxMessageBytes bounds a message between control hosts, in bytes.
const maxMessageBytes = 16 << 20

var errNotMonitored = errors.New("connection is not of a monitored listener")

// Listener returns a listener whose connections Service.Exchange takes.
func Listener(l net.Listener) net.Listener {
	return &dialer.MonitoredListener{Listener: l, Timeout: dialer.WriteTimeout}
}

// ServerOptions returns the options of a drpc server that accepts the largest
// message that control hosts send, and closes connections that have long had no call.
func ServerOptions() drpcserver.Options {
	options := drpcserver.Options{Manager: managerOptions()}
	options.Manager.InactivityTimeout = acceptor.DefaultIdleTimeout
	return options
}

func managerOptions() drpcmanager.Options {
	return drpcmanager.Options{Reader: drpcwire.ReaderOptions{MaximumBufferSize: maxMessageBytes}}
}

// Ask sends a request to the host at an address and returns the reply. It fails
// with NotSentError if no connection could be made. Only ctx bounds the wait for the reply.
func (t *Transport) Ask(ctx context.Context, address string, req *messenger.PeerRequest) (*messenger.PeerReply, error) {
	conn := t.requests().Conn(ctx, address)
	reply, err := messenger.NewDRPCPeersClient(conn).Ask(ctx, req)
	if unsent := new(dialer.DialError); errors.As(err, &unsent) {
		return nil, &NotSentError{Cause: unsent.Cause}
	}
	return reply, errors.Join(err, conn.Close())
}

// requests returns the pool of connections for requests.
func (t *Transport) requests() *dialer.Pool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.pool == nil {
		t.pool = dialer.New()
		t.pool.Options = drpcconn.Options{Manager: managerOptions()}
		t.pool.Silenced = t.logSilence
	}
	return t.pool
}

// logSilence logs that a connection for requests is given up.
func (t *Transport) logSilence(now time.Time, s dialer.Silence) {
	t.Log.Emit(now, logger.ControlRequestSilent, "", s.Fields(now)...)
}

// Close closes all connections.
func (t *Transport) Close() error {
	t.mu.Lock()
	t.closed = true
	for _, r := range t.routes {
		r.close()
	}
	pool := t.pool
	t.mu.Unlock()
	t.receiving.Wait()
	if pool != nil {
		return pool.Close()
	}
	return nil
}

// Send sends a message to the host at an address. The message may be lost without an
// error. After an error the next Send connects again.
func (t *Transport) Send(ctx context.Context, address string, m *messenger.PeerMessage) error {
	r := t.route(address)
	s := r.stream()
	if s == nil {
		var err error
		if s, err = t.reopen(ctx, r, address); err != nil {
			return err
		}
	}
	if err := s.send(m); err != nil {
		r.remove(s)
		return errors.Join(err, s.conn.Close())
	}
	return nil
}

// accept records the connection of a stream that the host at an address opened, and returns the
// connections of the streams to and from that host.
func (t *Transport) accept(now time.Time, conn *dialer.MonitoredConn, address string) (*route, error) {
	r := t.route(address)
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		return nil, net.ErrClosed
	}
	r.accept(now, conn)
	return r, nil
}

// open opens a stream to the host at an address. It outlives ctx: ctx ends with the peer's send
// goroutine, but later messages to the address reuse the stream.
func (t *Transport) open(ctx context.Context, address string) (*stream, error) {
	conn, err := dialer.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	rpc := drpcconn.NewWithOptions(conn, drpcconn.Options{Manager: managerOptions()})
	client, err := messenger.NewDRPCPeersClient(rpc).Exchange(context.WithoutCancel(ctx))
	if err != nil {
		return nil, errors.Join(err, rpc.Close())
	}
	return &stream{address: address, client: client, conn: conn, openedAt: time.Now(), log: t.Log}, nil
}

// reopen returns the stream to the host at an address, and opens it if there is none.
func (t *Transport) reopen(ctx context.Context, r *route, address string) (*stream, error) {
	r.opening.Lock()
	defer r.opening.Unlock()
	if s := r.stream(); s != nil {
		return s, nil
	}
	s, err := t.open(ctx, address)
	if err != nil {
		if r.setFailing(true) {
			t.Log.Emit(time.Now(), logger.ControlStreamOpened, "", logger.F("address", address), logger.F("error", err))
		}
		return nil, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		return nil, errors.Join(net.ErrClosed, s.conn.Close())
	}
	r.setStream(s)
	t.receiving.Go(func() { t.receive(s, r) })
	return s, nil
}

// receive receives the replies of a stream until it ends. Of streams without a reply, only the first in a
// row is logged.
func (t *Transport) receive(s *stream, r *route) {
	err := s.receive(func() {
		r.setFailing(false)
		t.Log.Emit(time.Now(), logger.ControlStreamOpened, "", logger.F("address", s.address), logger.F("error", nil))
	})
	r.remove(s)
	if s.hadReply() || r.setFailing(true) {
		t.Log.Emit(time.Now(), logger.ControlStreamClosed, "", logger.F("address", s.address),
			logger.F("age", time.Since(s.openedAt).Round(time.Millisecond)), logger.F("error", err))
	}
}

// route returns the connections of the streams to and from the host at an address.
func (t *Transport) route(address string) *route {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.routes == nil {
		t.routes = make(map[string]*route)
	}
	r := t.routes[address]
	if r == nil {
		r = &route{}
		t.routes[address] = r
	}
	return r
}

// Ask handles a request from another control host. The reply holds any failure; the error
// is always nil.
func (s *Service) Ask(ctx context.Context, req *messenger.PeerRequest) (*messenger.PeerReply, error) {
	return s.Replicator.Answer(ctx, req), nil
}

// Exchange receives the messages of one host until its stream ends. The connection must be one of
// Listener.
func (s *Service) Exchange(messages messenger.DRPCPeers_ExchangeStream) error {
	raw, _ := drpcctx.Transport(messages.Context())
	conn, ok := raw.(*dialer.MonitoredConn)
	if !ok {
		return errNotMonitored
	}
	ctx, stop := context.WithCancel(messages.Context())
	defer stop()
	go reply(ctx, messages, conn)
	var from *route
	for {
		m, err := messages.Recv()
		if err != nil {
			return err
		}
		if from == nil {
			if from, err = s.Transport.accept(time.Now(), conn, m.FromAddress); err != nil {
				return err
			}
			defer from.release(conn)
		}
		s.Replicator.Receive(m)
	}
}
