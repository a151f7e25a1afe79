package replicator

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"path/filepath"
	"slices"
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
	// silentProxy is the address of a host. It forwards connections to the host's listener until
	// they are silenced; new ones are forwarded again.
	silentProxy struct {
		listener net.Listener
		target   string
		// bytesPerSecond is the speed of each connection in each direction; 0 for no limit.
		bytesPerSecond int

		mu sync.Mutex
		// open holds the connections through the proxy, by which half of a connection they are.
		open []*proxiedConn
		wg   sync.WaitGroup
	}

	// proxiedConn is a connection through a proxy. A direction that is silenced loses all bytes.
	proxiedConn struct {
		client, server net.Conn
		bytesPerSecond int

		mu                            sync.Mutex
		silentRequests, silentReplies bool
	}

	// tcpHost is a host that reaches the others over TCP, through their proxies.
	tcpHost struct {
		*Replicator
		proxy *silentProxy
		// stop ends the host.
		stop context.CancelFunc
		// givenUp counts the streams that were given up as silent.
		givenUp atomic.Int64
	}
)

const (
	// startWithin is how soon a cluster must be ready at its start.
	startWithin = 20 * time.Second
	// leaderWithin is how soon a quorum must follow a leader, and followWithin how soon all hosts
	// must, after connections went silent.
	leaderWithin = 3 * time.Second
	followWithin = 5 * time.Second
	// readTimeout bounds one read of the configuration.
	readTimeout = 850 * time.Millisecond
	// pooledReads is how many reads at once leave a connection each.
	pooledReads = 16
)

func newSilentProxy(t *testing.T, target string) *silentProxy {
	t.Helper()
	return newSlowProxy(t, target, 0)
}

// newSlowProxy returns a proxy whose connections have a speed.
func newSlowProxy(t *testing.T, target string, bytesPerSecond int) *silentProxy {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &silentProxy{listener: l, target: target, bytesPerSecond: bytesPerSecond}
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
		c := &proxiedConn{client: client, server: server, bytesPerSecond: p.bytesPerSecond}
		if p.bytesPerSecond > 0 {
			_ = client.(*net.TCPConn).SetReadBuffer(linkBufferBytes)
			_ = server.(*net.TCPConn).SetReadBuffer(linkBufferBytes)
		}
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

// silenceAll silences the connections to all hosts that are open now, in the given directions.
func silenceAll(hosts []*tcpHost, requests, replies bool) {
	for _, h := range hosts {
		h.proxy.silence(requests, replies)
	}
}

// forward copies bytes in one direction, and drops them once it is silent. The end of a silent
// connection is not passed on either.
func (c *proxiedConn) forward(to, from net.Conn, isSilent func() bool) {
	buf := make([]byte, linkChunkBytes)
	free := time.Now()
	for {
		n, err := from.Read(buf)
		if c.bytesPerSecond > 0 {
			free = free.Add(max(0, time.Since(free)) + time.Duration(n)*time.Second/time.Duration(c.bytesPerSecond))
			time.Sleep(time.Until(free))
		}
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
	return newTCPClusterWith(t, 0, func(*Replicator) {})
}

// newTCPClusterWith starts three hosts that change has changed before their start, on links of a speed.
func newTCPClusterWith(t *testing.T, bytesPerSecond int, change func(r *Replicator)) []*tcpHost {
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
		h := &tcpHost{proxy: newSlowProxy(t, l.Addr().String(), bytesPerSecond)}
		hosts = append(hosts, h)
		peers = append(peers, Peer{Name: fmt.Sprint("hub-", i), Address: h.proxy.listener.Addr().String()})
	}
	folder := t.TempDir()
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	for i, h := range hosts {
		running, stop := context.WithCancel(ctx)
		h.stop = stop
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
		change(h.Replicator)
		mux := drpcmux.New()
		if err := messenger.DRPCRegisterPeers(mux, &Service{Replicator: h.Replicator, Transport: transport}); err != nil {
			t.Fatal(err)
		}
		wg.Go(func() { _ = drpcserver.NewWithOptions(mux, ServerOptions()).Serve(running, Listener(listeners[i])) })
		wg.Go(func() {
			if err := h.Run(running); err != nil {
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
			silenceAll(hosts, true, true)
		}},
		{"all connections, what their openers send", func(hosts []*tcpHost, _ int) {
			silenceAll(hosts, true, false)
		}},
		{"all connections, what their openers receive", func(hosts []*tcpHost, _ int) {
			silenceAll(hosts, false, true)
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

// The last leader's end must not add to what the silence has cost: the hubs left have talked before.
func TestSilentConnectionsBesideTheLeadersEndLeaveNoLeader(t *testing.T) {
	t.Parallel()
	hosts := newTCPCluster(t)
	awaitTCPLeader(t, hosts, startWithin)
	for range 3 {
		leads := awaitTCPLeader(t, hosts, leaderWithin)
		_ = hosts[leads].TransferLeadership(t.Context())
		awaitTCPCommit(t, hosts, time.Now())
	}
	last := awaitTCPLeader(t, hosts, leaderWithin)
	silenceAll(hosts, true, true)
	begun := time.Now()
	hosts[last].stop()
	left := slices.Delete(slices.Clone(hosts), last, last+1)
	awaitTCPLeader(t, left, followWithin)
	t.Logf("a quorum follows a leader after %v", time.Since(begun))
	awaitTCPCommit(t, left, time.Now())
}

// A transfer of the leadership whose message is lost must not leave the hubs without a leader.
func TestSilentConnectionsBesideATransferLeaveNoLeader(t *testing.T) {
	t.Parallel()
	hosts := newTCPCluster(t)
	for range 3 {
		leads := awaitTCPLeader(t, hosts, startWithin)
		awaitTCPCommit(t, hosts, time.Now())
		silenceAll(hosts, true, true)
		begun := time.Now()
		err := hosts[leads].TransferLeadership(t.Context())
		awaitTCPLeader(t, hosts, leaderWithin)
		t.Logf("a quorum follows a leader after %v; transfer: %v", time.Since(begun), err)
		awaitTCPCommit(t, hosts, begun)
		time.Sleep(2 * time.Second)
	}
}

// A hub that nobody can dial must not keep the others from a leader, nor lead them.
func TestLeaderThatNobodyCanDialIsReplaced(t *testing.T) {
	t.Parallel()
	hosts := newTCPCluster(t)
	awaitTCPLeader(t, hosts, startWithin)
	awaitTCPCommit(t, hosts, time.Now())
	leads := awaitTCPLeader(t, hosts, leaderWithin)
	_ = hosts[leads].proxy.listener.Close()
	hosts[leads].proxy.silence(true, true)
	left := slices.Delete(slices.Clone(hosts), leads, leads+1)
	begun := time.Now()
	awaitTCPLeader(t, left, followWithin)
	t.Logf("a quorum follows a leader after %v", time.Since(begun))
}

// A hub that stalls may cost streams; once it runs again none may be given up.
func TestStreamsAreKeptAfterAHubHasStalled(t *testing.T) {
	t.Parallel()
	hosts := newTCPCluster(t)
	awaitTCPLeader(t, hosts, startWithin)
	awaitTCPCommit(t, hosts, time.Now())
	for range 2 {
		leads := awaitTCPLeader(t, hosts, leaderWithin)
		stalled := hosts[(leads+1)%len(hosts)]
		stalled.mu.Lock()
		time.Sleep(3 * time.Second)
		stalled.mu.Unlock()
		awaitTCPCommit(t, hosts, time.Now())
		awaitNoneGivenUp(t, hosts)
	}
}

// Silence may cost the streams that it hits; the streams that replace them must be kept.
func TestStreamsAreKeptAfterSilence(t *testing.T) {
	t.Parallel()
	hosts := newTCPCluster(t)
	awaitTCPLeader(t, hosts, startWithin)
	for range 3 {
		leads := awaitTCPLeader(t, hosts, leaderWithin)
		_ = hosts[leads].TransferLeadership(t.Context())
		awaitTCPCommit(t, hosts, time.Now())
		silenceAll(hosts, true, true)
		awaitTCPCommit(t, hosts, time.Now())
		awaitNoneGivenUp(t, hosts)
	}
}

// awaitNoneGivenUp waits until replaced streams have settled, and fails if one is given up later.
func awaitNoneGivenUp(t *testing.T, hosts []*tcpHost) {
	t.Helper()
	time.Sleep(2 * time.Second)
	before := make([]int64, len(hosts))
	for i, h := range hosts {
		before[i] = h.givenUp.Load()
	}
	time.Sleep(2 * time.Second)
	for i, h := range hosts {
		t.Logf("%s gave up %d streams in all", h.Name, h.givenUp.Load())
		if n := h.givenUp.Load() - before[i]; n > 0 {
			t.Errorf("%s gave up %d streams that were not silent", h.Name, n)
		}
	}
}

// A reply of the largest size must reach a host behind a slow link.
func TestLargeRepliesPassTheWriteTimeout(t *testing.T) {
	t.Parallel()
	for _, mbits := range []int{23, 13, 6} {
		t.Run(fmt.Sprint(mbits, " Mbit a second"), func(t *testing.T) {
			t.Parallel()
			raw, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = raw.Close() }()
			proxy := newSlowProxy(t, raw.Addr().String(), mbits*bytesPerMbit)
			written := make(chan error, 1)
			go func() {
				conn, err := Listener(raw).Accept()
				for range largestConfig / (64 << 10) {
					if err == nil {
						_, err = conn.Write(make([]byte, 64<<10))
					}
				}
				written <- err
				if conn != nil {
					_ = conn.Close()
				}
			}()
			conn, err := net.Dial("tcp", proxy.listener.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = conn.Close() }()
			n, err := io.Copy(io.Discard, conn)
			if n != largestConfig || err != nil {
				t.Errorf("%d of %d bytes arrived: %v", n, largestConfig, err)
			}
			if err := <-written; err != nil {
				t.Error(err)
			}
		})
	}
}

// A stream that went silent must be replaced before its loss costs the leadership.
func TestSilentConnectionsKeepTheLeader(t *testing.T) {
	t.Parallel()
	tests := []struct {
		name              string
		requests, replies bool
	}{
		{"both directions", true, true},
		{"what the openers send", true, false},
		{"what the openers receive", false, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			hosts := newTCPCluster(t)
			leads := awaitTCPLeader(t, hosts, startWithin)
			awaitTCPCommit(t, hosts, time.Now())
			term := hosts[leads].Status().Term
			for range 5 {
				time.Sleep(2 * time.Second)
				silenceAll(hosts, tt.requests, tt.replies)
				time.Sleep(2 * time.Second)
				if s := hosts[leads].Status(); s.Role != "leader" || s.Term != term {
					t.Fatalf("%s is %s in term %d, want leader in term %d", hosts[leads].Name, s.Role, s.Term, term)
				}
			}
		})
	}
}

// A snapshot of which chunks are lost in silence must be installed nevertheless.
func TestSilentConnectionsBesideASnapshotLeaveAHubBehind(t *testing.T) {
	t.Parallel()
	state := make([]byte, 4<<20)
	_, _ = rand.NewChaCha8([32]byte{}).Read(state)
	var restored atomic.Int64
	hosts := newTCPClusterWith(t, 0, func(r *Replicator) {
		r.SnapshotEntries, r.TrailingEntries = 20, 5
		r.Snapshot = func() ([]byte, error) { return state, nil }
		r.Restore = func(uint64, []byte) error {
			restored.Add(1)
			return nil
		}
	})
	awaitTCPLeader(t, hosts, startWithin)
	awaitTCPCommit(t, hosts, time.Now())
	leads := awaitTCPLeader(t, hosts, leaderWithin)
	behind := hosts[(leads+1)%len(hosts)]
	behind.mu.Lock()
	for range 60 {
		ctx, cancel := context.WithTimeout(t.Context(), leaderWithin)
		_, _, err := hosts[leads].Propose(ctx, []byte("x"))
		cancel()
		if err != nil {
			behind.mu.Unlock()
			t.Fatal(err)
		}
	}
	time.Sleep(time.Second)
	silenceAll(hosts, true, true)
	behind.mu.Unlock()
	begun := time.Now()
	for range 3 {
		time.Sleep(700 * time.Millisecond)
		silenceAll(hosts, true, true)
	}
	awaitTCPCommit(t, hosts, time.Now())
	t.Logf("restored %d times, all follow after %v", restored.Load(), time.Since(begun))
	if restored.Load() == 0 {
		t.Error("no snapshot was installed")
	}
}

// Each pooled connection to the leader that has gone silent must not cost a hub one read or change.
func TestSilentPooledConnectionsFailReadsOfAHub(t *testing.T) {
	t.Parallel()
	hosts := newTCPCluster(t)
	awaitTCPLeader(t, hosts, startWithin)
	awaitTCPCommit(t, hosts, time.Now())
	leads := awaitTCPLeader(t, hosts, leaderWithin)
	follower := hosts[(leads+1)%len(hosts)]
	read := func() error {
		ctx, cancel := context.WithTimeout(t.Context(), readTimeout)
		defer cancel()
		_, err := follower.Confirm(ctx)
		return err
	}
	var wg sync.WaitGroup
	for range pooledReads {
		wg.Go(func() {
			if err := read(); err != nil {
				t.Error(err)
			}
		})
	}
	wg.Wait()
	hosts[leads].proxy.silence(true, true)
	begun := time.Now()
	failed := 0
	for err := read(); err != nil; err = read() {
		failed++
		if time.Since(begun) >= followWithin {
			t.Fatalf("%d reads in a row failed within %v, while the follower knows that %s leads: %v",
				failed, time.Since(begun), follower.Status().Leader.Name, err)
		}
	}
	t.Logf("%d reads failed; the first after that succeeds %v after the silence", failed, time.Since(begun))
}
