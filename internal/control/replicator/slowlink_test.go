package replicator

import (
	"context"
	"fmt"
	"net"
	"path/filepath"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"verbenareach/internal/event/logger"
	"verbenareach/internal/wire/messenger"
)

type (
	// slowProxy is the address of a host behind a link of bytesPerSecond in each direction of each
	// connection.
	slowProxy struct {
		bytesPerSecond int
		listener       net.Listener
		target         string
		wg             sync.WaitGroup

		mu   sync.Mutex
		open []net.Conn
	}

	// slowHost is a host behind a slowProxy.
	slowHost struct {
		*Replicator
		proxy *slowProxy
		// givenUp counts the streams that were given up as silent.
		givenUp atomic.Int64
	}
)

const (
	// bytesPerMbit converts Mbit to bytes. The proxy forwards linkChunkBytes at a time.
	bytesPerMbit   = 1_000_000 / 8
	linkChunkBytes = 8 << 10
	// linkBufferBytes bounds what a link holds in the kernel's buffers of the proxy.
	linkBufferBytes = 64 << 10
	// largestConfig is the largest configuration that an operator can send, in bytes.
	largestConfig = 1 << 20
)

func newSlowProxy(t *testing.T, target string, bytesPerSecond int) *slowProxy {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &slowProxy{listener: l, target: target, bytesPerSecond: bytesPerSecond}
	p.wg.Go(p.run)
	t.Cleanup(func() {
		_ = l.Close()
		p.mu.Lock()
		for _, c := range p.open {
			_ = c.Close()
		}
		p.mu.Unlock()
		p.wg.Wait()
	})
	return p
}

func (p *slowProxy) run() {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return
		}
		server, err := net.Dial("tcp", p.target)
		if err != nil {
			_ = client.Close()
			continue
		}
		_ = client.(*net.TCPConn).SetReadBuffer(linkBufferBytes)
		_ = server.(*net.TCPConn).SetReadBuffer(linkBufferBytes)
		p.mu.Lock()
		p.open = append(p.open, client, server)
		p.mu.Unlock()
		p.wg.Go(func() { p.forward(server, client) })
		p.wg.Go(func() { p.forward(client, server) })
	}
}

// forward copies bytes in one direction at the speed of the link.
func (p *slowProxy) forward(to, from net.Conn) {
	buf := make([]byte, linkChunkBytes)
	free := time.Now()
	for {
		n, err := from.Read(buf)
		if now := time.Now(); free.Before(now) {
			free = now
		}
		free = free.Add(time.Duration(n) * time.Second / time.Duration(p.bytesPerSecond))
		time.Sleep(time.Until(free))
		if n > 0 {
			if _, err := to.Write(buf[:n]); err != nil {
				_ = from.Close()
				return
			}
		}
		if err != nil {
			_ = to.Close()
			return
		}
	}
}

// newSlowCluster starts three hosts with the timing of the fleet's hubs, each behind a slow link.
func newSlowCluster(t *testing.T, bytesPerSecond int) []*slowHost {
	t.Helper()
	var hosts []*slowHost
	var peers []Peer
	var listeners []net.Listener
	for i := range 3 {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		listeners = append(listeners, l)
		h := &slowHost{proxy: newSlowProxy(t, l.Addr().String(), bytesPerSecond)}
		hosts = append(hosts, h)
		peers = append(peers, Peer{Name: fmt.Sprint("hub-", i), Address: h.proxy.listener.Addr().String()})
	}
	folder := t.TempDir()
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	for i, h := range hosts {
		transport := &Transport{Log: &logger.Logger{Count: func(ev logger.Event) {
			if ev.Code() == logger.ControlStreamSilent.Code() {
				h.givenUp.Add(1)
			}
		}}}
		h.Replicator = &Replicator{
			Name: peers[i].Name, Address: peers[i].Address, Peers: peers, Folder: filepath.Join(folder, peers[i].Name),
			Send: transport.Send, Ask: transport.Ask, Heartbeat: 150 * time.Millisecond, ElectionTimeout: 900 * time.Millisecond,
			Apply:    func(_ uint64, command []byte) []byte { return command[:1] },
			Snapshot: func() ([]byte, error) { return nil, nil },
			Restore:  func(uint64, []byte) error { return nil },
		}
		mux := drpcmux.New()
		if err := messenger.DRPCRegisterPeers(mux, &Service{Replicator: h.Replicator, Transport: transport}); err != nil {
			t.Fatal(err)
		}
		wg.Go(func() { _ = drpcserver.NewWithOptions(mux, ServerOptions()).Serve(ctx, Listener(listeners[i])) })
		wg.Go(func() {
			if err := h.Run(ctx); err != nil {
				t.Error(err)
			}
			_ = transport.Close()
		})
	}
	t.Cleanup(func() {
		cancel()
		wg.Wait()
	})
	return hosts
}

// A stream over which a large configuration is on its way must not be given up as silent.
func TestLargeEntriesOverSlowLinksGiveNoStreamUp(t *testing.T) {
	t.Parallel()
	tests := []struct {
		name  string
		mbits int
		count int
	}{
		{"one at 100 Mbit a second", 100, 1},
		{"one at 23 Mbit a second", 23, 1},
		{"two at 23 Mbit a second", 23, 2},
		{"one at 16 Mbit a second", 16, 1},
		{"one at 13 Mbit a second", 13, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			hosts := newSlowCluster(t, tt.mbits*bytesPerMbit)
			leads := awaitSlowLeader(t, hosts)
			time.Sleep(2 * time.Second)
			ctx, cancel := context.WithTimeout(t.Context(), 15*time.Second)
			defer cancel()
			begun := time.Now()
			var wg sync.WaitGroup
			for range tt.count {
				wg.Go(func() {
					if _, _, err := leads.Propose(ctx, make([]byte, largestConfig)); err != nil {
						t.Errorf("entry is not committed after %v: %v", time.Since(begun), err)
					}
				})
			}
			wg.Wait()
			t.Logf("committed after %v", time.Since(begun))
			time.Sleep(2 * time.Second)
			for _, h := range hosts {
				if n := h.givenUp.Load(); n > 0 {
					t.Errorf("%s gave up %d streams that were not silent", h.Name, n)
				}
			}
		})
	}
}

func awaitSlowLeader(t *testing.T, hosts []*slowHost) *slowHost {
	t.Helper()
	for end := time.Now().Add(startWithin); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		for _, h := range hosts {
			if h.Status().Role == "leader" {
				return h
			}
		}
	}
	t.Fatal("no leader")
	return nil
}
