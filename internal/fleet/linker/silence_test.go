package linker

import (
	"context"
	"fmt"
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
	// bytes and closes for good and stay open; later ones work.
	silencer struct {
		target string
		// oneWay lets bytes that clients send pass through silent connections, but no end.
		oneWay bool
		mu     sync.Mutex
		muted  chan struct{}
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
		server, err := net.Dial("tcp", p.target)
		if err != nil {
			_ = client.Close()
			return
		}
		t.Cleanup(func() { _, _ = client.Close(), server.Close() })
		p.mu.Lock()
		muted := p.muted
		p.mu.Unlock()
		go pass(client, server, muted, false)
		go pass(server, client, muted, p.oneWay)
	}
}

// pass copies from one connection to the other, and closes that at the end of the first. Once muted
// is closed, it passes no end on, and drops what it reads unless keepBytes is set.
func pass(to, from net.Conn, muted <-chan struct{}, keepBytes bool) {
	buf := make([]byte, 4096)
	for {
		n, readErr := from.Read(buf)
		select {
		case <-muted:
			if readErr != nil {
				return
			}
			if !keepBytes {
				continue
			}
		default:
		}
		if _, err := to.Write(buf[:n]); err != nil || readErr != nil {
			_ = to.Close()
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

func TestSilentLinkStaysUpAtOneSide(t *testing.T) {
	for _, oneWay := range []bool{false, true} {
		t.Run(fmt.Sprint("one way ", oneWay), func(t *testing.T) {
			front, back := listen(t), listen(t)
			p := &silencer{target: back.Addr().String(), oneWay: oneWay, muted: make(chan struct{})}
			go p.serve(t, front)
			accepting := startHubAt(t, "b", back, front.Addr().String())
			dialing := startHub(t, "a", front.Addr().String())
			awaitLink(t, dialing, "b", successorLinkTimeout)
			awaitLink(t, accepting, "a", successorLinkTimeout)
			before := []*link{currentLink(dialing, "b"), currentLink(accepting, "a")}
			p.silence()
			for i, l := range []*Linker{dialing, accepting} {
				name := []string{"b", "a"}[i]
				awaitNewLink(t, l, name, before[i])
			}
		})
	}
}

func currentLink(l *Linker, name string) *link {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.links[name]
}

// awaitNewLink waits until a link to a host has taken the place of another one.
func awaitNewLink(t *testing.T, l *Linker, name string, before *link) {
	t.Helper()
	for end := time.Now().Add(successorLinkTimeout); ; time.Sleep(10 * time.Millisecond) {
		if k := currentLink(l, name); k != nil && k != before {
			return
		}
		if time.Now().After(end) {
			t.Fatalf("%s has no new link to %s after %v", l.Self.Name, name, successorLinkTimeout)
		}
	}
}
