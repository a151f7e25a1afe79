package replicator

import (
	"context"
	"fmt"
	"math/rand"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"verbenareach/internal/control/recorder"
	"verbenareach/internal/wire/messenger"
)

// TestHistories runs random histories of cut and unreliable links, restarts, damaged logs
// and leadership transfers, and checks that no acknowledged command is lost or applied
// twice. The network also checks that each term has at most one leader, and each host that
// its applied index never decreases.
func TestHistories(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(20261204)
	parameters.MinSuccessfulTests = 12
	parameters.Workers = 4
	properties := gopter.NewProperties(parameters)
	properties.Property("acknowledged commands are kept in order", prop.ForAll(
		func(seed int64) bool {
			return t.Run(fmt.Sprint(seed), func(t *testing.T) { runHistory(t, rand.New(rand.NewSource(seed))) })
		},
		gen.Int64(),
	))
	properties.TestingRun(t)
}

func runHistory(t *testing.T, rnd *rand.Rand) {
	n := newNetwork(t, rnd.Int63())
	peers := []Peer{{"a", "a"}, {"b", "b"}, {"c", "c"}}
	folder := t.TempDir()
	for _, p := range peers {
		n.start(&Replicator{
			Name: p.Name, Peers: peers, Folder: filepath.Join(folder, p.Name), SnapshotEntries: 15, TrailingEntries: 3,
		})
	}
	n.awaitLeader()
	var acked []string
	for step := range 40 {
		switch name := peers[rnd.Intn(3)].Name; rnd.Intn(12) {
		case 0:
			n.isolate(name, true)
		case 1, 2:
			n.heal()
		case 3:
			n.restart(name)
		case 4:
			n.mu.Lock()
			n.unreliable = !n.unreliable
			n.mu.Unlock()
		case 5:
			ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
			_ = n.host(name).TransferLeadership(ctx)
			cancel()
		case 6:
			n.heal()
			n.awaitThreeVoters()
			old := n.host(name)
			n.stop(name)
			damageLog(t, old.Folder)
			n.start(&Replicator{
				Name: name, Peers: peers, Folder: old.Folder, SnapshotEntries: 15, TrailingEntries: 3,
			})
			n.awaitThreeVoters()
		default:
			command := fmt.Sprint("step", step)
			ctx, cancel := context.WithTimeout(context.Background(), 150*time.Millisecond)
			if _, _, err := n.host(name).Submit(ctx, []byte(command)); err == nil {
				acked = append(acked, command)
			}
			cancel()
		}
	}
	n.heal()
	n.propose("last")
	n.awaitConvergence(append(acked, "last")...)
	seen := make(map[string]bool)
	for _, c := range n.runningHosts()[0].commands() {
		if seen[c] {
			t.Errorf("%s was applied twice", c)
		}
		seen[c] = true
	}
}

// heal restores all links and makes them reliable.
func (n *network) heal() {
	n.mu.Lock()
	defer n.mu.Unlock()
	clear(n.cut)
	n.unreliable = false
}

// awaitThreeVoters waits until all three hosts are live voters.
func (n *network) awaitThreeVoters() {
	n.t.Helper()
	n.eventually("three voters", func() bool {
		alive := 0
		for _, m := range n.awaitLeader().Status().Members {
			h := n.host(m.Name)
			if m.Voter && m.Alive && h != nil && h.Status().ID == m.ID {
				alive++
			}
		}
		return alive == 3
	})
}

// TestFullDisk fills the leader's disk. The leader must refuse changes, transfer
// leadership, and accept changes again once the disk has room. A single host must refuse
// changes and stay readable.
func TestFullDisk(t *testing.T) {
	for _, names := range [][]string{{"a"}, {"a", "b", "c"}} {
		t.Run(fmt.Sprint(len(names)), func(t *testing.T) {
			n := newNetwork(t, 12)
			var peers []Peer
			for _, name := range names {
				peers = append(peers, Peer{name, name})
			}
			full := make(map[string]*atomic.Bool)
			folder := t.TempDir()
			for _, name := range names {
				full[name] = new(atomic.Bool)
				n.start(&Replicator{
					Name: name, Peers: peers, Folder: filepath.Join(folder, name), Files: diskFullWhile(full[name]),
				})
			}
			n.awaitLeader()
			n.proposeMany(1, 10)
			lead := n.awaitLeader()
			full[lead.Name].Store(true)
			ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
			_, _, _ = lead.Propose(ctx, []byte("c11"))
			cancel()
			n.eventually("leader reports a full disk", func() bool { return lead.Status().DiskFull })
			if len(names) > 1 {
				n.eventually("another leader", func() bool { return n.awaitLeader() != lead })
				n.proposeMany(12, 15)
			}
			if n.awaitLeader() == nil || len(lead.commands()) < 10 {
				t.Error("host with a full disk is not readable")
			}
			if len(names) == 1 {
				if _, _, err := lead.Propose(context.Background(), []byte("refused")); err == nil {
					t.Error("a full disk accepted a command")
				}
			}
			full[lead.Name].Store(false)
			n.proposeMany(16, 20)
			n.awaitConvergence(commands(16, 20)...)
			if slices.Contains(lead.commands(), "refused") {
				t.Error("a refused command was applied")
			}
		})
	}
}

// A goroutine that reports late that the disk was full must not have changes refused once a later write succeeded.
func TestLateReportOfAFullDiskRefusesChangesForGood(t *testing.T) {
	n := newNetwork(t, 18)
	var full atomic.Bool
	h := n.start(&Replicator{Name: "a", Peers: []Peer{{"a", "a"}}, Folder: t.TempDir(), Files: diskFullWhile(&full)})
	n.propose("c1")
	full.Store(true)
	seq, err := h.rec.SetState(&messenger.LogState{Term: h.Status().Term})
	if err != nil {
		t.Fatal(err)
	}
	late := h.rec.Sync(seq)
	full.Store(false)
	n.propose("c2")
	h.Replicator.mu.Lock()
	h.handleDiskError(late)
	h.Replicator.mu.Unlock()
	for end := time.Now().Add(2 * time.Second); ; time.Sleep(h.Heartbeat) {
		_, _, err := h.Propose(context.Background(), []byte("c3"))
		if err == nil {
			return
		}
		if time.Now().After(end) {
			t.Fatalf("change is refused with %v", err)
		}
	}
}

// diskFullWhile returns the disk, on which writes fail with ENOSPC while full is set.
func diskFullWhile(full *atomic.Bool) recorder.Files {
	files := recorder.Disk()
	wrap := func(f *recorder.File, err error) (*recorder.File, error) {
		if err != nil {
			return nil, err
		}
		write := f.Write
		f.Write = func(data []byte) (int, error) {
			if full.Load() {
				return 0, syscall.ENOSPC
			}
			return write(data)
		}
		return f, nil
	}
	create, open := files.Create, files.Append
	files.Create = func(path string) (*recorder.File, error) { return wrap(create(path)) }
	files.Append = func(path string, size int64) (*recorder.File, error) { return wrap(open(path, size)) }
	return files
}

// TestFailedSyncStopsHost checks that a host stops after a failed sync.
func TestFailedSyncStopsHost(t *testing.T) {
	n := newNetwork(t, 13)
	peers := []Peer{{"a", "a"}, {"b", "b"}, {"c", "c"}}
	folder := t.TempDir()
	var broken atomic.Bool
	files := recorder.Disk()
	open := files.Create
	files.Create = func(path string) (*recorder.File, error) {
		f, err := open(path)
		if err == nil {
			sync := f.Sync
			f.Sync = func() error {
				if broken.Load() {
					return os.ErrDeadlineExceeded
				}
				return sync()
			}
		}
		return f, err
	}
	for _, p := range peers {
		r := &Replicator{Name: p.Name, Peers: peers, Folder: filepath.Join(folder, p.Name)}
		if p.Name == "b" {
			r.Files = files
		}
		n.start(r)
	}
	n.awaitLeader()
	broken.Store(true)
	n.proposeMany(1, 5)
	failed := n.host("b")
	n.eventually("b stops", func() bool { return failed.Status().ID == "" })
	if err := n.stop("b"); err == nil {
		t.Error("Run returned no error")
	}
	n.proposeMany(6, 10)
	n.awaitConvergence(commands(1, 10)...)
}

// TestNoReplyBeforeSync blocks the syncs of one host, which in the meantime must neither
// acknowledge entries nor vote.
func TestNoReplyBeforeSync(t *testing.T) {
	n := newNetwork(t, 15)
	peers := []Peer{{"a", "a"}, {"b", "b"}, {"c", "c"}}
	folder := t.TempDir()
	var gate sync.RWMutex
	files := recorder.Disk()
	create := files.Create
	files.Create = func(path string) (*recorder.File, error) {
		f, err := create(path)
		if err == nil {
			sync := f.Sync
			f.Sync = func() error {
				gate.RLock()
				defer gate.RUnlock()
				return sync()
			}
		}
		return f, err
	}
	for _, p := range peers {
		r := &Replicator{Name: p.Name, Peers: peers, Folder: filepath.Join(folder, p.Name)}
		if p.Name == "b" {
			r.Files = files
		}
		n.start(r)
	}
	n.proposeMany(1, 5)
	n.eventually("another leader than b", func() bool {
		lead := n.awaitLeader()
		if lead.Name == "b" {
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			_ = lead.TransferLeadership(ctx)
			cancel()
		}
		return lead.Name != "b"
	})
	n.awaitConvergence(commands(1, 5)...)
	gate.Lock()
	last := n.host("b").Status().Last
	var early atomic.Int32
	n.mu.Lock()
	n.watch = func(from string, m *messenger.PeerMessage) {
		acked := m.GetAppendReply() != nil && !m.GetAppendReply().Rejected && m.GetAppendReply().Match > last
		voted := m.GetVoteReply().GetGranted() && !m.GetVoteReply().GetPre()
		if from == "b" && (acked || voted) {
			early.Add(1)
		}
	}
	n.mu.Unlock()
	n.proposeMany(6, 10)
	lead := n.awaitLeader()
	n.eventually("b holds entries that are not durable", func() bool { return n.host("b").Status().Last > last })
	if err := n.stop(lead.Name); err != nil {
		t.Fatal(err)
	}
	time.Sleep(6 * lead.ElectionTimeout)
	n.mu.Lock()
	n.watch = nil
	n.mu.Unlock()
	if got := early.Load(); got > 0 {
		t.Errorf("b answered %d times before its records were durable", got)
	}
	gate.Unlock()
	n.proposeMany(11, 12)
	n.awaitConvergence(commands(1, 12)...)
}
