package replicator

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"math/rand"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"
	"google.golang.org/protobuf/proto"

	"verbenareach/internal/wire/messenger"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const testTimeout = 30 * time.Second

type (
	// network connects hosts in one process. It can cut links, and lose, delay, duplicate
	// and reorder messages.
	network struct {
		t  *testing.T
		mu sync.Mutex
		// hosts holds the running hosts by address.
		hosts map[string]*host
		// cut holds the pairs from>to between which no message passes.
		cut map[string]bool
		// unreliable makes the network lose, delay, duplicate and reorder messages.
		unreliable bool
		rnd        *rand.Rand
		// leaders holds the leader's id by term.
		leaders map[uint64]string
		// watch is called with each message, unless nil.
		watch func(from string, m *messenger.PeerMessage)
		wg    sync.WaitGroup
	}

	// host is one control host whose application is the list of applied commands.
	host struct {
		*Replicator
		cancel context.CancelFunc
		done   chan error

		mu sync.Mutex
		// applied holds the applied commands in order; lastIndex is the index of the last
		// one.
		applied   []string
		lastIndex uint64
	}
)

var errCut = errors.New("link is cut")

func newNetwork(t *testing.T, seed int64) *network {
	n := &network{
		t: t, hosts: make(map[string]*host), cut: make(map[string]bool),
		rnd: rand.New(rand.NewSource(seed)), leaders: make(map[uint64]string),
	}
	// The first call registers the removal of all folders, so that it runs after the
	// cleanup below.
	t.TempDir()
	t.Cleanup(func() {
		for _, h := range n.runningHosts() {
			n.stop(h.Address)
		}
		n.wg.Wait()
	})
	return n
}

// cluster starts hosts and waits until there is a leader.
func (n *network) cluster(names ...string) {
	var peers []Peer
	for _, name := range names {
		peers = append(peers, Peer{Name: name, Address: name})
	}
	folder := n.t.TempDir()
	for _, name := range names {
		n.start(&Replicator{Name: name, Peers: peers, Folder: filepath.Join(folder, name)})
	}
	n.awaitLeader()
}

// start runs a host on its data folder.
func (n *network) start(r *Replicator) *host {
	h := &host{Replicator: r, done: make(chan error, 1)}
	if r.Address == "" {
		r.Address = r.Name
	}
	if r.Heartbeat == 0 {
		r.Heartbeat = 5 * time.Millisecond
		r.ElectionTimeout = 50 * time.Millisecond
	}
	r.Apply = func(index uint64, command []byte) []byte {
		h.mu.Lock()
		defer h.mu.Unlock()
		if index <= h.lastIndex {
			n.t.Errorf("%s applied %d after %d", r.Name, index, h.lastIndex)
		}
		h.lastIndex = index
		h.applied = append(h.applied, string(command))
		return []byte("did " + string(command))
	}
	r.Snapshot = func() ([]byte, error) {
		h.mu.Lock()
		defer h.mu.Unlock()
		return []byte(strings.Join(h.applied, "\n")), nil
	}
	r.Restore = func(index uint64, state []byte) error {
		h.mu.Lock()
		defer h.mu.Unlock()
		if index < h.lastIndex {
			n.t.Errorf("%s restored %d after %d", r.Name, index, h.lastIndex)
		}
		h.lastIndex = index
		h.applied = nil
		if len(state) > 0 {
			h.applied = strings.Split(string(state), "\n")
		}
		return nil
	}
	r.Send = func(_ context.Context, address string, m *messenger.PeerMessage) error {
		return n.send(r.Address, address, m)
	}
	r.Ask = func(ctx context.Context, address string, req *messenger.PeerRequest) (*messenger.PeerReply, error) {
		n.mu.Lock()
		to := n.hosts[address]
		cut := n.cut[r.Address+">"+address] || n.cut[address+">"+r.Address]
		n.mu.Unlock()
		if to == nil || cut {
			return nil, &NotSentError{Cause: errCut}
		}
		return to.Answer(ctx, req), nil
	}
	var ctx context.Context
	ctx, h.cancel = context.WithCancel(context.Background())
	n.mu.Lock()
	n.hosts[r.Address] = h
	n.mu.Unlock()
	go func() { h.done <- r.Run(ctx) }()
	return h
}

// restart stops a host and starts it again on its data folder.
func (n *network) restart(name string) {
	old := n.host(name)
	n.stop(name)
	n.start(&Replicator{
		Name: name, Peers: old.Peers, Folder: old.Folder, SnapshotEntries: old.SnapshotEntries,
		TrailingEntries: old.TrailingEntries, Now: old.Now,
	})
}

func (n *network) stop(name string) error {
	n.mu.Lock()
	h := n.hosts[name]
	delete(n.hosts, name)
	n.mu.Unlock()
	h.cancel()
	return <-h.done
}

// send delivers a message at once on a reliable network. On an unreliable one it may lose,
// delay or duplicate the message.
func (n *network) send(from, to string, m *messenger.PeerMessage) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if m.GetAppendRequest() != nil {
		if leaderID := n.leaders[m.Term]; leaderID != "" && leaderID != m.FromId {
			n.t.Errorf("two leaders in term %d", m.Term)
		}
		n.leaders[m.Term] = m.FromId
	}
	if n.watch != nil {
		n.watch(from, m)
	}
	if n.cut[from+">"+to] {
		return nil // A silent partition.
	}
	copies := 1
	var delay time.Duration
	if n.unreliable {
		copies = []int{0, 1, 1, 1, 1, 1, 1, 2}[n.rnd.Intn(8)]
		delay = time.Duration(n.rnd.Intn(8)) * time.Millisecond
	}
	for range copies {
		m := proto.Clone(m).(*messenger.PeerMessage)
		n.wg.Go(func() {
			time.Sleep(delay)
			n.mu.Lock()
			h := n.hosts[to]
			n.mu.Unlock()
			if h != nil {
				h.Receive(m)
			}
		})
	}
	return nil
}

func (n *network) host(name string) *host {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.hosts[name]
}

func (n *network) runningHosts() []*host {
	n.mu.Lock()
	defer n.mu.Unlock()
	return slices.Collect(maps.Values(n.hosts))
}

// isolate cuts all links of a host, or restores them.
func (n *network) isolate(name string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for other := range n.hosts {
		n.cut[name+">"+other] = cut
		n.cut[other+">"+name] = cut
	}
}

// eventually waits until ok returns true.
func (n *network) eventually(what string, ok func() bool) {
	n.t.Helper()
	for end := time.Now().Add(testTimeout); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if ok() {
			return
		}
	}
	for _, h := range n.runningHosts() {
		n.t.Logf("%+v has applied %q", h.Status(), h.commands())
	}
	n.t.Fatalf("timed out waiting for %s", what)
}

// awaitLeader waits until a quorum confirms a leader and returns it.
func (n *network) awaitLeader() *host {
	n.t.Helper()
	var found *host
	n.eventually("a confirmed leader", func() bool {
		for _, h := range n.runningHosts() {
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			_, err := h.ConfirmRead(ctx)
			cancel()
			if err == nil {
				found = h
				return true
			}
		}
		return false
	})
	return found
}

// propose commits a command through whichever host leads.
func (n *network) propose(command string) {
	n.t.Helper()
	n.eventually("commit of "+command, func() bool {
		for _, h := range n.runningHosts() {
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			_, result, err := h.Propose(ctx, []byte(command))
			cancel()
			if err == nil && string(result) != "did "+command {
				n.t.Fatalf("result %q", result)
			}
			if err == nil {
				return true
			}
		}
		return false
	})
}

func (n *network) proposeMany(from, to int) {
	n.t.Helper()
	for i := from; i <= to; i++ {
		n.propose(fmt.Sprint("c", i))
	}
}

func (h *host) commands() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.Clone(h.applied)
}

// awaitConvergence waits until all running hosts have applied the same commands, which
// include the wanted ones in their order.
func (n *network) awaitConvergence(wanted ...string) {
	n.t.Helper()
	n.eventually("the same commands everywhere", func() bool {
		hosts := n.runningHosts()
		first := hosts[0].commands()
		for _, h := range hosts[1:] {
			if !slices.Equal(first, h.commands()) {
				return false
			}
		}
		at := 0
		for _, c := range first {
			if at < len(wanted) && c == wanted[at] {
				at++
			}
		}
		return at == len(wanted)
	})
}

func commands(from, to int) []string {
	var list []string
	for i := from; i <= to; i++ {
		list = append(list, fmt.Sprint("c", i))
	}
	return list
}
