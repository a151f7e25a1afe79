package tracker

import (
	"testing"
	"time"

	"verbenareach/internal/wire/messenger"
)

const (
	ready    = messenger.Backend_STATE_READY
	draining = messenger.Backend_STATE_DRAINING
	gone     = messenger.Backend_STATE_GONE
	silent   = messenger.Backend_STATE_SILENT
)

var start = time.Unix(1000, 0)

func report(id, address string, started, sequence int64, state messenger.Backend_State) *messenger.Backend {
	return &messenger.Backend{Id: id, Service: "engine", Address: address, Started: started, Sequence: sequence, State: state}
}

func newTracker() *Tracker {
	return &Tracker{Name: "host-1", SilenceTimeout: 3 * time.Second}
}

func TestHeartbeatReportsChanges(t *testing.T) {
	tests := []struct {
		name    string
		then    *messenger.Backend
		changed bool
	}{
		{"the same again", report("a", "1", 5, 2, ready), false},
		{"another state", report("a", "1", 5, 2, draining), true},
		{"another process", report("a", "1", 6, 1, ready), true},
		{"an older report", report("a", "1", 5, 0, draining), false},
		{"a report of an older process", report("a", "1", 4, 9, draining), false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			tr := newTracker()
			if !tr.Heartbeat(start, report("a", "1", 5, 1, ready)) {
				t.Fatal("the first heartbeat is no change")
			}
			if got := tr.Heartbeat(start, tt.then); got != tt.changed {
				t.Errorf("changed = %v, want %v", got, tt.changed)
			}
		})
	}
}

func TestMergeReturnsOnlyChanges(t *testing.T) {
	tr := newTracker()
	if changed := tr.Merge(start, []*messenger.Backend{report("a", "1", 5, 1, ready)}); len(changed) != 1 {
		t.Fatalf("%d changes for a new backend server, want 1", len(changed))
	}
	leaving := []*messenger.Backend{report("a", "1", 5, 9, gone)}
	if changed := tr.Merge(start, leaving); len(changed) != 1 {
		t.Fatalf("%d changes for a backend server that is gone, want 1", len(changed))
	}
	if changed := tr.Merge(start, leaving); len(changed) != 0 {
		t.Errorf("%d changes for a known report, want 0", len(changed))
	}
	if got := tr.Ready(start, "engine"); len(got) != 0 {
		t.Errorf("%d backend servers are ready after one has gone", len(got))
	}
}

func TestGoneIsFinalForAProcess(t *testing.T) {
	tr := newTracker()
	tr.Heartbeat(start, report("a", "1", 5, 3, ready))
	if tr.MarkGone(start, "a") == nil {
		t.Fatal("leaving is no change")
	}
	tr.Heartbeat(start, report("a", "1", 5, 4, ready))
	if got := tr.Find("a").State; got != gone {
		t.Errorf("state after a late heartbeat is %v", got)
	}
	tr.Heartbeat(start, report("a", "1", 6, 1, ready))
	if got := tr.Find("a").State; got != ready {
		t.Errorf("state of the next process is %v", got)
	}
}

func TestAddressBelongsToItsNewestProcess(t *testing.T) {
	tr := newTracker()
	tr.Heartbeat(start, report("old", "1", 5, 3, ready))
	tr.Heartbeat(start, report("new", "1", 7, 1, ready))
	if got := tr.Find("old").State; got != gone {
		t.Errorf("state of the former process at the address is %v", got)
	}
	tr.Heartbeat(start, report("older", "1", 6, 1, ready))
	if tr.Find("older") != nil {
		t.Error("a late report of an older process took the address")
	}
}

func TestExpireMarksOnlyBackendsThisHostKeeps(t *testing.T) {
	tr := newTracker()
	tr.Heartbeat(start, report("mine", "1", 5, 3, ready))
	other := report("other", "2", 5, 3, ready)
	other.Keeper = "host-2"
	tr.Merge(start, []*messenger.Backend{other})
	expired := tr.Expire(start.Add(4 * time.Second))
	if len(expired) != 1 || expired[0].Id != "mine" || expired[0].State != silent {
		t.Fatalf("expired backend servers are %v", expired)
	}
	if !tr.Heartbeat(start.Add(5*time.Second), report("mine", "1", 5, 4, ready)) {
		t.Error("the return of a silent backend server is no change")
	}
}

func TestReadyLeavesOutAvoidedUnlessNoneIsLeft(t *testing.T) {
	tr := newTracker()
	tr.Heartbeat(start, report("a", "1", 5, 3, ready))
	tr.Heartbeat(start, report("b", "2", 5, 3, ready))
	tr.Avoid("a", start.Add(time.Second))
	if got := tr.Ready(start, "engine"); len(got) != 1 || got[0].Id != "b" {
		t.Errorf("ready backend servers are %v", got)
	}
	tr.Avoid("b", start.Add(time.Second))
	if got := tr.Ready(start, "engine"); len(got) != 2 {
		t.Errorf("%d are ready while all are avoided, want 2", len(got))
	}
}

func TestMarkedAsDrainingUntilALaterReport(t *testing.T) {
	here, there := &Tracker{Name: "here"}, &Tracker{Name: "there"}
	for _, tr := range []*Tracker{here, there} {
		tr.Heartbeat(start, report("a", "1", 5, 3, ready))
	}
	marked := here.MarkDraining(start, "a")
	if marked == nil || here.MarkDraining(start, "a") != nil {
		t.Fatal("a ready backend server is marked once")
	}
	if len(there.Merge(start, []*messenger.Backend{marked})) != 1 || there.Find("a").State != messenger.Backend_STATE_DRAINING {
		t.Error("another host does not take the mark")
	}
	if len(there.Merge(start, []*messenger.Backend{report("a", "1", 5, 4, ready)})) != 1 {
		t.Error("a later report does not replace the mark")
	}
}

func TestProcessThatSaidItLeavesIsLeftOutUntilAnotherOne(t *testing.T) {
	here, there := &Tracker{Name: "here"}, &Tracker{Name: "there"}
	for _, tr := range []*Tracker{here, there} {
		tr.Heartbeat(start, report("a", "1", 5, 3, ready))
	}
	process := here.Find("a")
	told, news := here.MarkLeaving(start, process)
	if _, again := here.MarkLeaving(start, process); told == nil || !news || again {
		t.Fatal("a ready process is marked once")
	}
	there.Merge(start, []*messenger.Backend{told})
	if n := len(there.Ready(start, "engine")); n != 0 {
		t.Errorf("%d are ready at another host, want 0", n)
	}
	for _, tr := range []*Tracker{here, there} {
		tr.Merge(start, []*messenger.Backend{report("a", "1", 5, 4, ready)})
	}
	if got := len(here.Ready(start, "engine")); got != 0 || len(there.Ready(start, "engine")) != 1 {
		t.Errorf("a later report makes it ready at %d hosts that heard it, want 0, and at another host not", got)
	}
	if _, late := here.MarkLeaving(start, report("a", "1", 4, 1, ready)); late {
		t.Error("an answer of an earlier process is news")
	}
	here.Merge(start, []*messenger.Backend{report("a", "1", 6, 1, ready)})
	if _, leaves := here.Leaving(start, process); leaves || len(here.Ready(start, "engine")) != 1 {
		t.Error("another process of the same id is left out")
	}
}

func TestNoticeOfADepartureKeepsItsTime(t *testing.T) {
	tr := newTracker()
	process := report("a", "1", 5, 1, ready)
	for i, tt := range []struct {
		state messenger.Backend_State
		since time.Duration
		known bool
	}{
		{ready, 0, false}, {draining, 0, true}, {draining, time.Second, true}, {ready, 0, false},
		{silent, 0, false}, {draining, 0, true}, {silent, time.Second, true}, {gone, 2 * time.Second, true},
	} {
		now := start.Add(time.Duration(i) * time.Second)
		tr.Merge(now, []*messenger.Backend{report("a", "1", 5, int64(i)+1, tt.state)})
		if since, known := tr.Leaving(now, process); since != tt.since || known != tt.known {
			t.Errorf("step %d: leaves for %v: %v, want %v: %v", i, since, known, tt.since, tt.known)
		}
	}
	tr.Merge(start, []*messenger.Backend{report("a", "1", 6, 1, ready)})
	if _, known := tr.Leaving(start, process); known {
		t.Error("the notice of an earlier process counts for another one")
	}
}

// A backend server may tell its end to another host than its keeper, which may be lost. That host answers
// those that lack the mark, also the keeper.
func TestEndToldToAnotherHostThanTheKeeperIsKeptByNobody(t *testing.T) {
	tr := newTracker()
	old := report("a", "1", 5, 1, ready)
	old.Keeper = "host-2"
	tr.Merge(start, []*messenger.Backend{old})
	if r := tr.MarkGone(start, "a"); r.GetKeeper() != "host-1" {
		t.Errorf("keeper %q, want the host that was told", r.GetKeeper())
	}
	late := report("a", "1", 5, 2, ready)
	late.Keeper = "host-2"
	if got := tr.Corrections([]*messenger.Backend{late}); len(got) != 1 || got[0].State != gone {
		t.Errorf("a late report of the former keeper is answered with %v", got)
	}
	if got := newHub(t, tr.Find("a")).Outdated([]*messenger.Backend{late}, "host-2"); len(got) != 1 || got[0].State != gone {
		t.Errorf("a hub answers a late report of the former keeper with %v", got)
	}
}

// newHub returns the tracker of another host that holds a report.
func newHub(t *testing.T, r *messenger.Backend) *Tracker {
	t.Helper()
	hub := &Tracker{Name: "host-3", SilenceTimeout: 3 * time.Second}
	hub.Merge(start, []*messenger.Backend{r})
	return hub
}
