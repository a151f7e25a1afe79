package replicator

import (
	"context"
	"fmt"
	"net"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"verbenareach/internal/wire/messenger"
)

type (
	// silentProxy is the address of a host. It forwards connections to the host's listener until
	// they are silenced; new ones are forwarded again.
	silentProxy struct {
		listener net.Listener
		target   string

		mu sync.Mutex
		// open holds the connections through the proxy, by which half of a connection they are.
		open []*proxiedConn
		wg   sync.WaitGroup
	}

	// proxiedConn is a connection through a proxy. A direction that is silenced loses all bytes.
	proxiedConn struct {
		client, server net.Conn

		mu                            sync.Mutex
		silentRequests, silentReplies bool
	}

	// tcpHost is a host that reaches the others over TCP, through their proxies.
	tcpHost struct {
		*Replicator
		proxy *silentProxy
	}
)

const (
	// startWithin is how soon a cluster must be ready at its start.
	startWithin = 20 * time.Second
	// leaderWithin is how soon a quorum must follow a leader, and followWithin how soon all hosts
	// must, after connections went silent.
	leaderWithin = 3 * time.Second
	followWithin = 5 * time.Second
)

func newSilentProxy(t *testing.T, target string) *silentProxy {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &silentProxy{listener: l, target: target}
	p.wg.Go(p.run)
	t.Cleanup(func() {
		_ = l.Close()
		p.mu.Lock()
		for _, c := range p.open {
			_ = c.client.Close()
			_ = c.server.Close()
		}
		p.mu.Unlock()
		p.wg.Wait()
	})
	return p
}

func (p *silentProxy) run() {
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
		c := &proxiedConn{client: client, server: server}
		p.mu.Lock()
		p.open = append(p.open, c)
		p.mu.Unlock()
		p.wg.Go(func() { c.forward(server, client, func() bool { return c.silentRequests }) })
		p.wg.Go(func() { c.forward(client, server, func() bool { return c.silentReplies }) })
	}
}

// silence silences the connections that are open now, in the given directions.
func (p *silentProxy) silence(requests, replies bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.open {
		c.mu.Lock()
		c.silentRequests = c.silentRequests || requests
		c.silentReplies = c.silentReplies || replies
		c.mu.Unlock()
	}
}

// forward copies bytes in one direction, and drops them once it is silent. The end of a silent
// connection is not passed on either.
func (c *proxiedConn) forward(to, from net.Conn, isSilent func() bool) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		c.mu.Lock()
		silent := isSilent()
		c.mu.Unlock()
		if !silent && n > 0 {
			_, _ = to.Write(buf[:n])
		}
		if err != nil {
			if !silent {
				_ = to.Close()
			}
			return
		}
	}
}

// newTCPCluster starts three hosts with the timing of the fleet's hubs.
func newTCPCluster(t *testing.T) []*tcpHost {
	t.Helper()
	var hosts []*tcpHost
	var peers []Peer
	var listeners []net.Listener
	for i := range 3 {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		listeners = append(listeners, l)
		h := &tcpHost{proxy: newSilentProxy(t, l.Addr().String())}
		hosts = append(hosts, h)
		peers = append(peers, Peer{Name: fmt.Sprint("hub-", i), Address: h.proxy.listener.Addr().String()})
	}
	folder := t.TempDir()
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	for i, h := range hosts {
		transport := &Transport{}
		h.Replicator = &Replicator{
			Name: peers[i].Name, Address: peers[i].Address, Peers: peers, Folder: filepath.Join(folder, peers[i].Name),
			Send: transport.Send, Ask: transport.Ask, Heartbeat: 150 * time.Millisecond, ElectionTimeout: 900 * time.Millisecond,
			Apply:    func(_ uint64, command []byte) []byte { return command },
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

// awaitTCPLeader waits until a quorum confirms a leader, and returns its number.
func awaitTCPLeader(t *testing.T, hosts []*tcpHost, within time.Duration) int {
	t.Helper()
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		for i, h := range hosts {
			if h.Status().Role != "leader" {
				continue
			}
			ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
			_, err := h.ConfirmRead(ctx)
			cancel()
			if err == nil {
				return i
			}
		}
	}
	t.Fatalf("no quorum follows a leader within %v", within)
	return 0
}

// awaitTCPCommit commits a command and waits until all hosts have applied it.
func awaitTCPCommit(t *testing.T, hosts []*tcpHost, begun time.Time) {
	t.Helper()
	ctx, cancel := context.WithDeadline(t.Context(), begun.Add(followWithin))
	defer cancel()
	var index uint64
	var err error
	for ctx.Err() == nil {
		if index, _, err = hosts[awaitTCPLeader(t, hosts, leaderWithin)].Propose(ctx, []byte("x")); err == nil {
			break
		}
	}
	for _, h := range hosts {
		for h.Status().Applied < index || index == 0 {
			if ctx.Err() != nil {
				t.Fatalf("%s does not follow within %v: applied %d of %d, %v", h.Name, followWithin, h.Status().Applied, index, err)
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
}

// Votes and entries that are written to a connection which delivers nothing are lost without an error.
func TestSilentConnectionsLeaveTheHubsWithoutALeader(t *testing.T) {
	t.Parallel()
	tests := []struct {
		name    string
		silence func(hosts []*tcpHost, leader int)
	}{
		{"all connections", func(hosts []*tcpHost, _ int) {
			for _, h := range hosts {
				h.proxy.silence(true, true)
			}
		}},
		{"all connections, what their openers send", func(hosts []*tcpHost, _ int) {
			for _, h := range hosts {
				h.proxy.silence(true, false)
			}
		}},
		{"all connections, what their openers receive", func(hosts []*tcpHost, _ int) {
			for _, h := range hosts {
				h.proxy.silence(false, true)
			}
		}},
		{"those to the leader", func(hosts []*tcpHost, leader int) { hosts[leader].proxy.silence(true, true) }},
		{"those to the followers", func(hosts []*tcpHost, leader int) {
			for i, h := range hosts {
				h.proxy.silence(i != leader, i != leader)
			}
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			hosts := newTCPCluster(t)
			awaitTCPLeader(t, hosts, startWithin)
			awaitTCPCommit(t, hosts, time.Now())
			for _, pause := range []time.Duration{0, 2 * time.Second, 100 * time.Millisecond} {
				time.Sleep(pause)
				tt.silence(hosts, awaitTCPLeader(t, hosts, leaderWithin))
				begun := time.Now()
				awaitTCPLeader(t, hosts, leaderWithin)
				awaitTCPCommit(t, hosts, begun)
			}
		})
	}
}
