package replicator

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"verbenareach/internal/wire/dialer"
	"verbenareach/internal/wire/messenger"
)

type (
	// refusingService ends each stream with an error, as a hub does whose log is not open.
	refusingService struct {
		*messenger.DRPCPeersUnimplementedServer
	}

	// mutePeer receives the messages of a stream and never replies.
	mutePeer struct {
		*messenger.DRPCPeersUnimplementedServer
	}

	// countingListener counts the accepted connections that are open and all of them.
	countingListener struct {
		net.Listener
		open, accepted atomic.Int64
	}

	// countedConn is a connection of a countingListener.
	countedConn struct {
		net.Conn
		once     sync.Once
		listener *countingListener
	}
)

// trickleInterval is the time between two bytes of a peer that trickles.
const trickleInterval = 300 * time.Millisecond

var errRefusing = errors.New("replicated log is not ready")

func (refusingService) Exchange(messenger.DRPCPeers_ExchangeStream) error { return errRefusing }

func (mutePeer) Exchange(stream messenger.DRPCPeers_ExchangeStream) error {
	for {
		if _, err := stream.Recv(); err != nil {
			return err
		}
	}
}

func (l *countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.open.Add(1)
	l.accepted.Add(1)
	return &countedConn{Conn: conn, listener: l}, nil
}

func (c *countedConn) Close() error {
	c.once.Do(func() { c.listener.open.Add(-1) })
	return c.Conn.Close()
}

// serveCounted serves a peer and returns its listener.
func serveCounted(t *testing.T, peer messenger.DRPCPeersServer) *countingListener {
	t.Helper()
	raw, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := &countingListener{Listener: raw}
	mux := drpcmux.New()
	if err := messenger.DRPCRegisterPeers(mux, peer); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { _ = drpcserver.NewWithOptions(mux, ServerOptions()).Serve(ctx, l) })
	t.Cleanup(func() {
		cancel()
		wg.Wait()
	})
	return l
}

// serveTrickle accepts connections, reads nothing and sends a byte now and then.
func serveTrickle(t *testing.T) *countingListener {
	t.Helper()
	raw, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := &countingListener{Listener: raw}
	var wg sync.WaitGroup
	wg.Go(func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			wg.Go(func() {
				defer func() { _ = conn.Close() }()
				for {
					if _, err := conn.Write([]byte{0}); err != nil {
						return
					}
					time.Sleep(trickleInterval)
				}
			})
		}
	})
	t.Cleanup(func() {
		_ = l.Close()
		wg.Wait()
	})
	return l
}

// A peer whose bytes make no reply must neither hold more than one connection nor what is sent to others.
func TestPeerThatTricklesDelaysOthers(t *testing.T) {
	t.Parallel()
	slow, sound := serveTrickle(t), serveCounted(t, mutePeer{})
	transport := &Transport{}
	for range 30 {
		_ = transport.Send(t.Context(), slow.Addr().String(), &messenger.PeerMessage{})
		begun := time.Now()
		_ = transport.Send(t.Context(), sound.Addr().String(), &messenger.PeerMessage{})
		if took := time.Since(begun); took > dialer.DialTimeout {
			t.Errorf("a message to another host took %v", took)
		}
		time.Sleep(100 * time.Millisecond)
	}
	time.Sleep(2 * trickleInterval)
	if open := slow.open.Load(); open > 1 {
		t.Errorf("%d of %d connections are open after 30 messages, want at most 1", open, slow.accepted.Load())
	}
	if err := transport.Close(); err != nil {
		t.Error(err)
	}
}

// A stream that the other host ends with an error must not leave its connection open.
func TestRefusedStreamsLeaveNoConnectionOpen(t *testing.T) {
	t.Parallel()
	tests := []struct {
		name string
		peer messenger.DRPCPeersServer
	}{
		{"ended with an error", refusingService{}},
		{"no reply", mutePeer{}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			l := serveCounted(t, tt.peer)
			transport := &Transport{}
			for range 30 {
				_ = transport.Send(t.Context(), l.Addr().String(), &messenger.PeerMessage{})
				time.Sleep(100 * time.Millisecond)
			}
			time.Sleep(time.Second)
			if open := l.open.Load(); open > 1 {
				t.Errorf("%d of %d connections are open after 30 messages, want at most 1", open, l.accepted.Load())
			}
			if err := transport.Close(); err != nil {
				t.Error(err)
			}
		})
	}
}
