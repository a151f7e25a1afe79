package replicator

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

func TestThreeHostsAgree(t *testing.T) {
	n := newNetwork(t, 1)
	n.cluster("a", "b", "c")
	n.proposeMany(1, 50)
	n.awaitConvergence(commands(1, 50)...)
	for _, h := range n.runningHosts() {
		ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
		index, result, err := h.Submit(ctx, []byte("from "+h.Name))
		if err != nil || string(result) != "did from "+h.Name || h.Status().Applied < index {
			t.Errorf("Submit at %s: %q, %v, applied %d of %d", h.Name, result, err, h.Status().Applied, index)
		}
		if read, err := h.Confirm(ctx); err != nil || read < index {
			t.Errorf("Confirm at %s: %d, %v, want at least %d", h.Name, read, err, index)
		}
		cancel()
	}
}

func TestOneOfThreeLost(t *testing.T) {
	n := newNetwork(t, 2)
	n.cluster("a", "b", "c")
	n.proposeMany(1, 10)
	lost := n.awaitLeader().Name
	if err := n.stop(lost); err != nil {
		t.Fatal(err)
	}
	n.proposeMany(11, 20)
	n.awaitConvergence(commands(1, 20)...)
}

func TestIsolatedLeaderConfirmsNothing(t *testing.T) {
	n := newNetwork(t, 3)
	n.cluster("a", "b", "c")
	n.proposeMany(1, 5)
	old := n.awaitLeader()
	n.isolate(old.Name, true)
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	confirmed := make(chan error, 1)
	go func() {
		_, err := old.ConfirmRead(ctx)
		confirmed <- err
	}()
	short, stop := context.WithTimeout(ctx, 20*time.Millisecond)
	defer stop()
	_, _, err := old.Propose(short, []byte("from the isolated leader"))
	unknown, notLeader := new(OutcomeUnknownError), new(NotLeaderError)
	if !errors.As(err, &unknown) && !errors.As(err, &notLeader) {
		t.Errorf("proposal at the isolated leader: %v", err)
	}
	if err := <-confirmed; !errors.As(err, &notLeader) {
		t.Errorf("read at the isolated leader: %v", err)
	}
	n.eventually("old leader steps down", func() bool { return old.Status().Role != "leader" })
	n.proposeMany(6, 10)
	if got := len(old.commands()); got != 5 {
		t.Errorf("the isolated host has applied %d commands", got)
	}
	term := n.awaitLeader().Status().Term
	time.Sleep(5 * old.ElectionTimeout)
	if now := old.Status().Term; now > term {
		t.Errorf("the isolated host raised its term to %d, others are at %d", now, term)
	}
	n.isolate(old.Name, false)
	n.proposeMany(11, 12)
	n.awaitConvergence(commands(1, 12)...)
}

func TestRestartAfterManyChangesAndSnapshots(t *testing.T) {
	n := newNetwork(t, 4)
	peers := []Peer{{"a", "a"}, {"b", "b"}, {"c", "c"}}
	folder := t.TempDir()
	for _, p := range peers {
		n.start(&Replicator{
			Name: p.Name, Peers: peers, Folder: filepath.Join(folder, p.Name), SnapshotEntries: 100, TrailingEntries: 10,
		})
	}
	n.awaitLeader()
	n.proposeMany(1, 300)
	behindName := "c"
	if n.awaitLeader().Name == behindName {
		behindName = "b"
	}
	behind := n.host(behindName)
	if err := n.stop(behindName); err != nil {
		t.Fatal(err)
	}
	n.proposeMany(301, 620)
	lead := n.awaitLeader()
	n.eventually("snapshots", func() bool { return lead.Status().First > 400 })
	n.start(&Replicator{Name: behindName, Peers: peers, Folder: behind.Folder, SnapshotEntries: 100, TrailingEntries: 10})
	n.awaitConvergence(commands(1, 620)...)
	for _, p := range peers {
		n.restart(p.Name)
	}
	n.proposeMany(621, 630)
	n.awaitConvergence(commands(1, 630)...)
}

// TestLargeCommandsAreBounded checks that the log is compacted by size even if it has few
// entries.
func TestLargeCommandsAreBounded(t *testing.T) {
	n := newNetwork(t, 16)
	peers := []Peer{{"a", "a"}}
	folder := t.TempDir()
	h := n.start(&Replicator{Name: "a", Peers: peers, Folder: folder, SnapshotBytes: 10_000})
	n.awaitLeader()
	large := strings.Repeat("x", 1000)
	for i := range 60 {
		n.propose(fmt.Sprint(large, i))
	}
	n.eventually("a short log", func() bool { return h.Status().Last-h.Status().First < 25 })
	n.restart("a")
	n.propose("last")
	if got := len(n.host("a").commands()); got != 61 {
		t.Errorf("%d commands after the restart", got)
	}
}

func TestUnreliableNetwork(t *testing.T) {
	n := newNetwork(t, 5)
	n.cluster("a", "b", "c", "d", "e")
	n.mu.Lock()
	n.unreliable = true
	n.mu.Unlock()
	n.proposeMany(1, 60)
	n.mu.Lock()
	n.unreliable = false
	n.mu.Unlock()
	n.awaitConvergence(commands(1, 60)...)
}

func TestWipedHostNeitherVotesNorBootstraps(t *testing.T) {
	n := newNetwork(t, 6)
	n.cluster("a", "b", "c")
	n.proposeMany(1, 10)
	old := n.host("a") // The bootstrap host.
	if err := n.stop("a"); err != nil {
		t.Fatal(err)
	}
	if err := os.RemoveAll(old.Folder); err != nil {
		t.Fatal(err)
	}
	wiped := n.start(&Replicator{Name: "a", Peers: old.Peers, Folder: old.Folder})
	n.proposeMany(11, 12)
	lead := n.awaitLeader()
	if err := n.stop(lead.Name); err != nil {
		t.Fatal(err)
	}
	time.Sleep(10 * wiped.ElectionTimeout)
	for _, h := range n.runningHosts() {
		if s := h.Status(); s.Role == "leader" {
			t.Errorf("%s leads without a quorum of hosts that hold the log", h.Name)
		}
	}
	if got := wiped.commands(); len(got) != 0 {
		t.Errorf("wiped host applied %v", got)
	}
	n.start(&Replicator{Name: lead.Name, Peers: lead.Peers, Folder: lead.Folder})
	replaceHost(n, "a")
	n.awaitConvergence(commands(1, 12)...)
	// A second host, the leader, is lost right after the replacement.
	n.proposeMany(13, 13)
	if err := n.stop(n.awaitLeader().Name); err != nil {
		t.Fatal(err)
	}
	n.proposeMany(14, 20)
	n.awaitConvergence(commands(1, 20)...)
}

// replaceHost adds a host whose data were lost, as an operator does.
func replaceHost(n *network, name string) {
	n.t.Helper()
	n.eventually("replacement of "+name, func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
		defer cancel()
		return n.awaitLeader().Add(ctx, Peer{Name: name, Address: name}) == nil
	})
}

func TestDamagedHostIsRebuilt(t *testing.T) {
	n := newNetwork(t, 7)
	n.cluster("a", "b", "c")
	n.proposeMany(1, 30)
	n.awaitConvergence(commands(1, 30)...)
	old := n.host("b")
	id := old.Status().ID
	if err := n.stop("b"); err != nil {
		t.Fatal(err)
	}
	damageLog(t, old.Folder)
	rebuilt := n.start(&Replicator{Name: "b", Peers: old.Peers, Folder: old.Folder})
	n.eventually("b votes again, under another identity", func() bool {
		for _, m := range n.awaitLeader().Status().Members {
			if m.Name == "b" {
				return m.Voter && m.ID != id && m.ID == rebuilt.Status().ID
			}
		}
		return false
	})
	if err := n.stop("c"); err != nil {
		t.Fatal(err)
	}
	n.proposeMany(31, 40)
	n.awaitConvergence(commands(1, 40)...)
}

// damageLog flips a bit in the middle of the log.
func damageLog(t *testing.T, folder string) {
	t.Helper()
	logs, err := filepath.Glob(filepath.Join(folder, "*.log"))
	if err != nil || len(logs) == 0 {
		t.Fatal(logs, err)
	}
	data, err := os.ReadFile(logs[0])
	if err != nil {
		t.Fatal(err)
	}
	data[len(data)/2] ^= 4
	if err := os.WriteFile(logs[0], data, 0o600); err != nil {
		t.Fatal(err)
	}
}

func TestMembershipChanges(t *testing.T) {
	n := newNetwork(t, 8)
	n.cluster("a", "b", "c")
	n.proposeMany(1, 10)
	folder := t.TempDir()
	for _, name := range []string{"d", "e"} {
		n.start(&Replicator{Name: name, Peers: n.host("a").Peers, Folder: filepath.Join(folder, name)})
		replaceHost(n, name)
	}
	n.awaitConvergence(commands(1, 10)...)
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	lead := n.awaitLeader()
	refused := new(RefusedError)
	if err := lead.Add(ctx, Peer{Name: "x", Address: "x"}); !errors.As(err, &refused) {
		t.Errorf("adding a host that does not answer: %v", err)
	}
	if err := lead.Remove(ctx, "x"); !errors.As(err, &refused) {
		t.Errorf("removing a host that is no member: %v", err)
	}
	if err := lead.Remove(ctx, lead.Name); err != nil {
		t.Fatalf("leader removes itself: %v", err)
	}
	if err := n.stop(lead.Name); err != nil {
		t.Fatal(err)
	}
	n.proposeMany(11, 15)
	lead = n.awaitLeader()
	lost := ""
	for _, h := range n.runningHosts() {
		if h != lead {
			lost = h.Name
		}
	}
	if err := n.stop(lost); err != nil {
		t.Fatal(err)
	}
	n.proposeMany(16, 20)
	n.awaitConvergence(commands(1, 20)...)
	// Of 4 voters 3 run; taking two of these away would leave no quorum.
	var voters []string
	for _, h := range n.runningHosts() {
		if h != lead {
			voters = append(voters, h.Name)
		}
	}
	if err := lead.Remove(ctx, voters[0]); err != nil {
		t.Fatal(err)
	}
	if err := lead.Remove(ctx, voters[1]); !errors.As(err, &refused) {
		t.Errorf("removal that leaves no quorum: %v", err)
	}
}

func TestTransferLeadership(t *testing.T) {
	n := newNetwork(t, 9)
	n.cluster("a", "b", "c")
	for i := range 4 {
		n.propose(fmt.Sprint("c", i))
		old := n.awaitLeader()
		ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
		if err := old.TransferLeadership(ctx); err != nil {
			t.Fatal(err)
		}
		cancel()
		if n.awaitLeader() == old {
			t.Errorf("%s still leads", old.Name)
		}
	}
	n.awaitConvergence(commands(0, 3)...)
}

func TestClockJumps(t *testing.T) {
	n := newNetwork(t, 10)
	peers := []Peer{{"a", "a"}, {"b", "b"}, {"c", "c"}}
	folder := t.TempDir()
	for i, p := range peers {
		calls := 0
		var offset time.Duration
		now := func() time.Time {
			calls++
			if calls%7 == 0 {
				offset = time.Duration(calls%5-2+i) * 24 * time.Hour
			}
			return time.Now().Round(0).Add(offset)
		}
		n.start(&Replicator{Name: p.Name, Peers: peers, Folder: filepath.Join(folder, p.Name), Now: now})
	}
	lead := n.awaitLeader()
	n.proposeMany(1, 30)
	n.isolate(lead.Name, true)
	n.eventually("isolated leader steps down", func() bool { return lead.Status().Role != "leader" })
	n.proposeMany(31, 40)
	n.isolate(lead.Name, false)
	n.awaitConvergence(commands(1, 40)...)
}

func TestSingleHost(t *testing.T) {
	n := newNetwork(t, 11)
	n.cluster("a")
	n.proposeMany(1, 20)
	n.restart("a")
	n.proposeMany(21, 25)
	n.awaitConvergence(commands(1, 25)...)
}

// TestHostThatLacksEntriesIsNotElected isolates a host while commands are committed and
// then stops the leader. Of the two remaining hosts, only the one that holds the commands
// may be elected.
func TestHostThatLacksEntriesIsNotElected(t *testing.T) {
	n := newNetwork(t, 14)
	n.cluster("a", "b", "c")
	for round := range 6 {
		n.proposeMany(10*round, 10*round+4)
		lead := n.awaitLeader()
		var behind string
		for _, h := range n.runningHosts() {
			if h != lead {
				behind = h.Name
			}
		}
		n.isolate(behind, true)
		n.proposeMany(10*round+5, 10*round+9)
		lead = n.awaitLeader()
		if err := n.stop(lead.Name); err != nil {
			t.Fatal(err)
		}
		n.isolate(behind, false)
		if n.awaitLeader().Name == behind {
			t.Errorf("round %d: %s leads without the newest commands", round, behind)
		}
		n.start(&Replicator{Name: lead.Name, Peers: lead.Peers, Folder: lead.Folder})
		n.awaitConvergence(commands(0, 10*round+9)...)
	}
}
