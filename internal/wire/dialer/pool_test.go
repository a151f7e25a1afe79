package dialer

import (
	"context"
	"errors"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"storj.io/drpc"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"verbenareach/internal/wire/messenger"
)

type introduceServer struct {
	messenger.DRPCFleetUnimplementedServer
}

func (*introduceServer) Introduce(context.Context, *messenger.IntroduceRequest) (*messenger.IntroduceReply, error) {
	return &messenger.IntroduceReply{}, nil
}

func listen(tb testing.TB) net.Listener {
	tb.Helper()
	l, err := new(net.ListenConfig).Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(func() { _ = l.Close() })
	return l
}

// newPool returns a pool that counts what it dials.
func newPool(tb testing.TB) (*Pool, *atomic.Int64) {
	dials := new(atomic.Int64)
	p := New()
	p.Dial = func(ctx context.Context, address string) (drpc.Transport, error) {
		dials.Add(1)
		return dialTCP(ctx, address)
	}
	tb.Cleanup(func() { _ = p.Close() })
	return p, dials
}

// startHost returns the address of a host that answers introductions.
func startHost(tb testing.TB) string {
	tb.Helper()
	mux := drpcmux.New()
	if err := messenger.DRPCRegisterFleet(mux, &introduceServer{}); err != nil {
		tb.Fatal(err)
	}
	l := listen(tb)
	go func() { _ = drpcserver.New(mux).Serve(tb.Context(), l) }()
	return l.Addr().String()
}

func introduce(ctx context.Context, p *Pool, address, name string) error {
	conn := p.Conn(ctx, address)
	req := &messenger.IntroduceRequest{Host: &messenger.FleetHost{Name: name}}
	_, err := messenger.NewDRPCFleetClient(conn).Introduce(ctx, req)
	return errors.Join(err, conn.Close())
}

func idleCount(p *Pool) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.idleCount
}

func TestCallsInARowDialEachTime(t *testing.T) {
	p, dials := newPool(t)
	address := startHost(t)
	for range 100 {
		if err := introduce(t.Context(), p, address, "h"); err != nil {
			t.Fatal(err)
		}
	}
	if n := dials.Load(); n > 1 {
		t.Errorf("100 calls in a row dialed %d times", n)
	}
}

func TestIdleConnectionStaysOpenWithoutProofOfLife(t *testing.T) {
	p, dials := newPool(t)
	address := startHost(t)
	for range 2 {
		if err := introduce(t.Context(), p, address, "h"); err != nil {
			t.Fatal(err)
		}
		time.Sleep(2 * proofOfLife)
		p.mu.Lock()
		if len(p.open) != 0 || p.idleCount != 0 || len(p.idle) != 0 {
			t.Errorf("%d connections are open, %d idle", len(p.open), p.idleCount)
		}
		p.mu.Unlock()
	}
	if n := dials.Load(); n != 2 {
		t.Errorf("dialed %d times, want 2", n)
	}
}

func TestFailedDialLooksLikeASentCall(t *testing.T) {
	p, _ := newPool(t)
	l := listen(t)
	_ = l.Close()
	err := introduce(t.Context(), p, l.Addr().String(), "h")
	if dialErr := new(DialError); !errors.As(err, &dialErr) || dialErr.Address != l.Addr().String() {
		t.Errorf("call ended with %v", err)
	}
}

func TestSilentConnectionIsGivenUpWithoutATrace(t *testing.T) {
	p, _ := newPool(t)
	silences := make(chan Silence, 1)
	p.Silenced = func(_ time.Time, s Silence) { silences <- s }
	address := listen(t).Addr().String()
	ctx, cancel := context.WithCancel(t.Context())
	time.AfterFunc(50*time.Millisecond, cancel)
	if err := introduce(ctx, p, address, "h"); err == nil {
		t.Fatal("a silent host has answered")
	}
	if len(silences) != 0 {
		t.Error("a call that was canceled counts as silent")
	}
	ctx, cancel = context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	if err := introduce(ctx, p, address, "h"); err == nil {
		t.Fatal("a silent host has answered")
	}
	select {
	case s := <-silences:
		if s.Address != address || !s.LastHeard.Equal(s.Opened) {
			t.Errorf("told of %+v", s)
		}
	default:
		t.Error("nothing was told of the silent connection")
	}
	if n := idleCount(p); n != 0 {
		t.Errorf("%d connections are idle", n)
	}
}

func TestWriteToAHostThatReadsNothingWaitsForTheCall(t *testing.T) {
	p, _ := newPool(t)
	address := listen(t).Addr().String()
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	begun := time.Now()
	err := introduce(ctx, p, address, strings.Repeat("x", 64<<20))
	if took := time.Since(begun); err == nil || took > 3*time.Second {
		t.Errorf("call ended after %v with %v", took, err)
	}
}

func BenchmarkCall(b *testing.B) {
	for _, tt := range []struct {
		name  string
		reuse bool
	}{{"reused", true}, {"dialed", false}} {
		b.Run(tt.name, func(b *testing.B) {
			p, _ := newPool(b)
			address := startHost(b)
			for b.Loop() {
				if err := introduce(b.Context(), p, address, "h"); err != nil {
					b.Fatal(err)
				}
				if !tt.reuse {
					p.mu.Lock()
					idle := p.idle[address]
					p.mu.Unlock()
					for _, c := range idle {
						c.expiry.Stop()
						p.mu.Lock()
						p.removeIdle(address, 0)
						p.mu.Unlock()
						p.discard(c)
					}
				}
			}
		})
	}
}
