package keeper

import (
	"slices"
	"testing"
	"time"

	"verbenareach/internal/control/replicator"
)

var start = time.Unix(1000, 0)

func voter(name, id string, alive bool) replicator.MemberStatus {
	return replicator.MemberStatus{Name: name, ID: id, Voter: true, Alive: alive}
}

// learner returns the member e, which does not vote.
func learner(caughtUp bool) replicator.MemberStatus {
	return replicator.MemberStatus{Name: "e", ID: "5", Alive: true, CaughtUp: caughtUp}
}

func identity(name, id string) replicator.Identity {
	return replicator.Identity{Peer: replicator.Peer{Name: name}, ID: id}
}

func TestPlannerNext(t *testing.T) {
	four := []replicator.MemberStatus{voter("a", "1", true), voter("b", "2", true), voter("c", "3", true), voter("d", "4", true)}
	oneSilent := []replicator.MemberStatus{voter("a", "1", true), voter("b", "2", true), voter("c", "3", true), voter("d", "4", false)}
	twoSilent := []replicator.MemberStatus{voter("a", "1", true), voter("b", "2", true), voter("c", "3", false), voter("d", "4", false)}
	three := oneSilent[1:]
	five := append(slices.Clone(four), voter("e", "5", false))
	six := append(slices.Clone(four), voter("e", "5", true), voter("f", "6", false))
	silentLearner := replicator.MemberStatus{Name: "i", ID: "9"}
	tests := []struct {
		name       string
		members    []replicator.MemberStatus
		identified []replicator.Identity
		// after is how long the members have been silent; action and id are the change that is due.
		after  time.Duration
		action memberAction
		id     string
	}{
		{"all vote", four, []replicator.Identity{identity("b", "2")}, time.Minute, noChange, ""},
		{"a new hub", four, []replicator.Identity{identity("b", "2"), identity("e", "5")}, 0, addLearner, "5"},
		{"a hub with a new disk", oneSilent, []replicator.Identity{identity("d", "5")}, 0, addLearner, "5"},
		{"a voter that tells its identity before it answers again", three, []replicator.Identity{identity("d", "4")}, 0, noChange, ""},
		{"a learner that catches up", append(slices.Clone(three), learner(false)), nil, time.Minute, noChange, ""},
		{"a learner that has caught up", append(slices.Clone(three), learner(true)), nil, 0, promote, "5"},
		{"a learner before another new hub", append(slices.Clone(three), learner(true)), []replicator.Identity{identity("f", "6")}, 0, promote, "5"},
		{"a new hub beside a learner that catches up", append(slices.Clone(three), learner(false)), []replicator.Identity{identity("f", "6")}, 0, addLearner, "6"},
		{"a silent voter that lowers the tolerance too far, at once", oneSilent, nil, 500 * time.Millisecond, noChange, ""},
		{"a silent voter that lowers the tolerance too far, soon", oneSilent, nil, time.Second, remove, "4"},
		{"a superfluous silent voter, soon", five, nil, 2 * time.Second, noChange, ""},
		{"a superfluous silent voter, later", five, nil, 6 * time.Second, remove, "5"},
		{"a silent voter that leaves enough tolerance", six, nil, 2 * time.Second, noChange, ""},
		{"a silent learner, soon", append(slices.Clone(four), silentLearner), nil, 2 * time.Second, noChange, ""},
		{"a silent learner, later", append(slices.Clone(four), silentLearner), nil, 6 * time.Second, remove, "9"},
		{"a silent learner, after a voter that lowers the tolerance too far", append(slices.Clone(oneSilent), silentLearner), nil, 6 * time.Second, remove, "4"},
		{"a silent voter without a replacement", three, nil, time.Minute, noChange, ""},
		{"too few answer", twoSilent, nil, time.Minute, noChange, ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			p := &planner{self: "a", minVoters: 3}
			p.next(start, tt.members, nil)
			got := p.next(start.Add(tt.after), tt.members, tt.identified)
			if got.action != tt.action || got.id != tt.id {
				t.Errorf("%v %q, want %v %q", got.action, got.id, tt.action, tt.id)
			}
		})
	}
}

func TestPlannerPostponesAFailedChange(t *testing.T) {
	p := &planner{self: "a", minVoters: 3}
	members := []replicator.MemberStatus{voter("a", "1", true)}
	identified := []replicator.Identity{identity("b", "2"), identity("c", "3")}
	p.postpone(start, "2")
	if got := p.next(start, members, identified); got.id != "3" {
		t.Errorf("next is %q after 2 failed, want 3", got.id)
	}
	if got := p.next(start.Add(retryDelay), members, identified); got.id != "2" {
		t.Errorf("next is %q later, want 2 again", got.id)
	}
}

// TestSilentVoterIsRemovedOnceReplaced checks that a hub that is gone for good is removed within
// two seconds of its successor's vote: while four vote and three answer, no loss is tolerated.
func TestSilentVoterIsRemovedOnceReplaced(t *testing.T) {
	p := &planner{self: "b", minVoters: 3}
	members := []replicator.MemberStatus{voter("a", "1", false), voter("b", "2", true), voter("c", "3", true)}
	successor := []replicator.Identity{identity("d", "4")}
	if got := p.next(start, members, successor); got.action != addLearner || got.id != "4" {
		t.Fatalf("first change is %+v", got)
	}
	members = append(members, voter("d", "4", true))
	now := start
	for ; now.Before(start.Add(2 * time.Second)); now = now.Add(checkInterval) {
		if got := p.next(now, members, nil); got.action == remove && got.id == "1" {
			return
		}
	}
	t.Errorf("the silent voter is still a member after %v: with three of four voters left no loss is tolerated", now.Sub(start))
}
