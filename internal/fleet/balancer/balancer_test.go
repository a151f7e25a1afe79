package balancer

import (
	"math/rand/v2"
	"testing"
	"time"

	"verbenareach/internal/wire/messenger"
)

var start = time.Unix(1000, 0)

// fleet is some hosts that hear of each other's losses at once.
type fleet []*Balancer

func newFleet(n int) fleet {
	f := make(fleet, n)
	for i := range f {
		f[i] = &Balancer{Hosts: func() int { return n }}
	}
	for i := range f {
		f[i].TellLoss = func(backend string) {
			for j := range f {
				if j != i {
					f[j].LostElsewhere(now, backend)
				}
			}
		}
	}
	return f
}

// now is the time of the load that is played.
var now time.Time

func servers(ids ...string) []*messenger.Backend {
	list := make([]*messenger.Backend, len(ids))
	for i, id := range ids {
		list[i] = &messenger.Backend{Id: id, Slots: 6}
	}
	return list
}

func TestRequestGoesWhereFewestAreOutstanding(t *testing.T) {
	b := newFleet(1)[0]
	ready := servers("a", "b", "c")
	seen := make(map[string]int)
	for range 9 {
		best, _, _ := b.Choose(start, ready, nil)
		seen[best.Id]++
	}
	for _, s := range ready {
		if seen[s.Id] != 3 {
			t.Errorf("%d of 9 requests went to %s, want 3", seen[s.Id], s.Id)
		}
	}
}

func TestBackendServerIsNotOverrun(t *testing.T) {
	b := newFleet(1)[0]
	ready := servers("a")
	for range 6 {
		b.Choose(start, ready, nil)
	}
	if best, _, full := b.Choose(start, ready, nil); best != nil || !full {
		t.Errorf("chose %v with six of six places taken, full %v", best, full)
	}
	if best, _, full := b.Choose(start, ready, []string{"a"}); best != nil || full {
		t.Errorf("chose %v of none that is left, full %v", best, full)
	}
}

// play has the hosts of a fleet send 30 requests a second for some seconds to three
// backend servers, the first of which loses a share of its answers. It returns how many
// answers were lost and how many requests each backend server got.
func play(f fleet, seconds int, share float64) (lost int, got map[string]int) {
	r := rand.New(rand.NewPCG(3, 4))
	ready := servers("grey", "b", "c")
	got = make(map[string]int)
	now = start
	for i := range 30 * seconds {
		now = now.Add(time.Second / 30)
		best, done, _ := f[i%len(f)].Choose(now, ready, nil)
		got[best.Id]++
		if best.Id == "grey" && r.Float64() < share {
			lost++
			done(now, Lost)
			continue
		}
		done(now, Answered)
	}
	return lost, got
}

func TestHostsLearnOfLossesFromEachOther(t *testing.T) {
	lost, got := play(newFleet(7), 10, 0.4)
	if lost > 12 {
		t.Errorf("%d of %d answers lost in ten seconds: hosts find out one by one", lost, got["grey"])
	}
	if got["grey"] == 0 {
		t.Error("the failing one gets nothing, so that its recovery goes unnoticed")
	}
}

func TestRareLossesKeepNobodyAway(t *testing.T) {
	_, got := play(newFleet(7), 20, 0.02)
	if got["grey"] < 140 {
		t.Errorf("one that loses 2 in 100 answers got %d of 600 requests, want nearly a third", got["grey"])
	}
}

func TestLossesAreForgottenOnceABackendServerIsSound(t *testing.T) {
	f := newFleet(7)
	play(f, 5, 0.4)
	later := now.Add(3 * failingHalfLife)
	best, _, _ := f[0].Choose(later, servers("grey"), nil)
	if best == nil {
		t.Fatal("the only one left is not chosen")
	}
	if cost := f[0].loads["grey"].cost(later); cost > 1.5 {
		t.Errorf("costs %.1f nine seconds after its last loss", cost)
	}
}

func TestFailuresOfRequestsThemselvesKeepNobodyAway(t *testing.T) {
	b := newFleet(1)[0]
	now = start
	got := make(map[string]int)
	ready := servers("a", "b")
	for range 400 {
		now = now.Add(30 * time.Millisecond)
		best, done, _ := b.Choose(now, ready, nil)
		got[best.Id]++
		if best.Id == "a" && got["a"]%7 == 0 {
			done(now, Failed)
			continue
		}
		done(now, Answered)
	}
	if got["a"] < 150 {
		t.Errorf("one that fails one in seven got %d of 400 requests", got["a"])
	}
}
