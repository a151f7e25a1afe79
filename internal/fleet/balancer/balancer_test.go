package balancer

import (
	"math/rand/v2"
	"testing"
	"time"

	"verbenareach/internal/wire/messenger"
)

var start = time.Unix(1000, 0)

// fleet holds hosts that report losses to each other at once.
type fleet []*Balancer

func newFleet(n int) fleet {
	f := make(fleet, n)
	for i := range f {
		f[i] = &Balancer{Hosts: func() int { return n }}
	}
	for i := range f {
		f[i].ReportLoss = func(backend string) {
			for j := range f {
				if j != i {
					f[j].RecordRemoteLoss(now, backend)
				}
			}
		}
	}
	return f
}

// now is the simulated time.
var now time.Time

func servers(ids ...string) []*messenger.Backend {
	list := make([]*messenger.Backend, len(ids))
	for i, id := range ids {
		list[i] = &messenger.Backend{Id: id, Slots: 6}
	}
	return list
}

func TestChoosesFewestOutstanding(t *testing.T) {
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

func TestRequestThatWasNotSentCountsAsFailed(t *testing.T) {
	b := newFleet(1)[0]
	for range 100 {
		_, done, _ := b.Choose(start, servers("unused"), nil)
		done(start, Unused)
	}
	for range 3 {
		b.Choose(start, servers("busy"), nil)
	}
	if best, _, _ := b.Choose(start, servers("unused", "busy"), nil); best.Id != "unused" {
		t.Errorf("chose %s, which has three requests, before one that has none", best.Id)
	}
}

func TestRequestThatWasNotSentHidesLosses(t *testing.T) {
	b := newFleet(1)[0]
	for range 10 {
		_, done, _ := b.Choose(start, servers("bad"), nil)
		done(start, Lost)
	}
	for range 100 {
		_, done, _ := b.Choose(start, servers("bad"), nil)
		done(start, Unused)
	}
	if best, _, _ := b.Choose(start, servers("bad", "good"), nil); best.Id != "good" {
		t.Errorf("chose %s, which lost each request that was sent there", best.Id)
	}
}

func TestOutstandingRequestsAreBounded(t *testing.T) {
	b := newFleet(1)[0]
	ready := servers("a")
	for range 6 {
		b.Choose(start, ready, nil)
	}
	if best, _, full := b.Choose(start, ready, nil); best != nil || !full {
		t.Errorf("chose %v with six of six slots taken, full %v", best, full)
	}
	if best, _, full := b.Choose(start, ready, []string{"a"}); best != nil || full {
		t.Errorf("chose %v though all were tried, full %v", best, full)
	}
}

// simulate sends 30 requests a second for some seconds from the hosts of a fleet to three
// backend servers, the first of which loses a share of its answers. It returns the number of
// lost answers and the number of requests that each backend server got.
func simulate(f fleet, seconds int, share float64) (lost int, got map[string]int) {
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

func TestHostsShareLosses(t *testing.T) {
	lost, got := simulate(newFleet(7), 10, 0.4)
	if lost > 12 {
		t.Errorf("%d of %d answers lost in ten seconds: hosts don't share losses", lost, got["grey"])
	}
	if got["grey"] == 0 {
		t.Error("the lossy backend server gets no requests, so that its recovery can't be noticed")
	}
}

func TestRareLossesAreTolerated(t *testing.T) {
	_, got := simulate(newFleet(7), 20, 0.02)
	if got["grey"] < 140 {
		t.Errorf("a backend server that loses 2 in 100 answers got %d of 600 requests, want nearly a third", got["grey"])
	}
}

func TestLossRateDecays(t *testing.T) {
	f := newFleet(7)
	simulate(f, 5, 0.4)
	later := now.Add(3 * rateHalfLife)
	best, _, _ := f[0].Choose(later, servers("grey"), nil)
	if best == nil {
		t.Fatal("the only backend server is not chosen")
	}
	if cost := f[0].stats["grey"].cost(later); cost > 1.5 {
		t.Errorf("cost is %.1f nine seconds after the last loss", cost)
	}
}

func TestOrdinaryFailuresAreTolerated(t *testing.T) {
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
		t.Errorf("a backend server that fails one in seven requests got %d of 400", got["a"])
	}
}
