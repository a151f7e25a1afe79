package linker

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"verbenareach/internal/wire/messenger"
)

const (
	// idleConnections is the number of connections that are idle when they go silent.
	idleConnections = 5
)

type (
	// introduceServer answers introductions. While gather has a value, each waits until it is done.
	introduceServer struct {
		messenger.DRPCFleetUnimplementedServer
		gather atomic.Pointer[sync.WaitGroup]
	}

	// silencer is a loopback proxy. Connections that are open when silence is called hold back all
	// bytes for good and stay open; later ones work.
	silencer struct {
		target   string
		mu       sync.Mutex
		muted    chan struct{}
		accepted atomic.Int64
	}
)

func (s *introduceServer) Introduce(context.Context, *messenger.IntroduceRequest) (*messenger.IntroduceReply, error) {
	if wg := s.gather.Load(); wg != nil {
		wg.Done()
		wg.Wait()
	}
	return &messenger.IntroduceReply{}, nil
}

// startSilencer starts a host that answers introductions, and a proxy before it.
func startSilencer(t *testing.T) (*introduceServer, *silencer, string) {
	t.Helper()
	s := new(introduceServer)
	mux := drpcmux.New()
	if err := messenger.DRPCRegisterFleet(mux, s); err != nil {
		t.Fatal(err)
	}
	host, front := listen(t), listen(t)
	go func() { _ = drpcserver.New(mux).Serve(t.Context(), host) }()
	p := &silencer{target: host.Addr().String(), muted: make(chan struct{})}
	go p.serve(t, front)
	return s, p, front.Addr().String()
}

func listen(t *testing.T) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	return l
}

func (p *silencer) serve(t *testing.T, front net.Listener) {
	for {
		client, err := front.Accept()
		if err != nil {
			return
		}
		p.accepted.Add(1)
		server, err := net.Dial("tcp", p.target)
		if err != nil {
			_ = client.Close()
			return
		}
		t.Cleanup(func() { _, _ = client.Close(), server.Close() })
		p.mu.Lock()
		muted := p.muted
		p.mu.Unlock()
		go pass(client, server, muted)
		go pass(server, client, muted)
	}
}

// pass copies from one connection to the other, and closes both at the end of the first. Once
// muted is closed, it drops what it reads.
func pass(to, from net.Conn, muted <-chan struct{}) {
	defer func() { _, _ = to.Close(), from.Close() }()
	buf := make([]byte, 4096)
	for {
		n, err := from.Read(buf)
		if err != nil {
			return
		}
		select {
		case <-muted:
			continue
		default:
		}
		if _, err := to.Write(buf[:n]); err != nil {
			return
		}
	}
}

func (p *silencer) silence() {
	p.mu.Lock()
	defer p.mu.Unlock()
	close(p.muted)
	p.muted = make(chan struct{})
}

func introduceTo(l *Linker, address string) error {
	return l.Call(context.Background(), address, func(ctx context.Context, c messenger.DRPCFleetClient) error {
		_, err := c.Introduce(ctx, &messenger.IntroduceRequest{})
		return err
	})
}

// fillPool makes idleConnections calls at the same time, each over a connection of its own.
func fillPool(t *testing.T, s *introduceServer, l *Linker, address string) {
	t.Helper()
	var gather, calls sync.WaitGroup
	gather.Add(idleConnections)
	s.gather.Store(&gather)
	for range idleConnections {
		calls.Go(func() {
			if err := introduceTo(l, address); err != nil {
				t.Error(err)
			}
		})
	}
	calls.Wait()
	s.gather.Store(nil)
}

func TestEachSilentIdleConnectionFailsACall(t *testing.T) {
	for _, tt := range []struct {
		name       string
		idle       time.Duration
		mostFailed int
	}{
		{"at once", 0, 1},
		{"after a second without calls", time.Second, 0},
	} {
		t.Run(tt.name, func(t *testing.T) {
			s, p, address := startSilencer(t)
			l := newBareLinker()
			defer func() { _ = l.connections().Close() }()
			fillPool(t, s, l, address)
			p.silence()
			time.Sleep(tt.idle)
			failed := 0
			for range idleConnections + 1 {
				if err := introduceTo(l, address); err != nil {
					t.Log(err)
					failed++
				}
			}
			if failed > tt.mostFailed {
				t.Errorf("%d of %d calls failed over connections that went silent, want at most %d", failed, idleConnections+1, tt.mostFailed)
			}
		})
	}
}
