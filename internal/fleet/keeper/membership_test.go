package keeper

import (
	"slices"
	"testing"
	"time"

	"verbenareach/internal/control/replicator"
	"verbenareach/internal/wire/messenger"
)

var start = time.Unix(1000, 0)

func voter(name, id string, alive bool) replicator.MemberStatus {
	return replicator.MemberStatus{Name: name, ID: id, Voter: true, Alive: alive}
}

func TestPlannerNext(t *testing.T) {
	hub := func(name string) *messenger.FleetHost { return &messenger.FleetHost{Name: name, Hub: true} }
	four := []replicator.MemberStatus{voter("a", "1", true), voter("b", "2", true), voter("c", "3", true), voter("d", "4", true)}
	oneSilent := []replicator.MemberStatus{voter("a", "1", true), voter("b", "2", true), voter("c", "3", true), voter("d", "4", false)}
	twoSilent := []replicator.MemberStatus{voter("a", "1", true), voter("b", "2", true), voter("c", "3", false), voter("d", "4", false)}
	three := oneSilent[1:]
	five := append(slices.Clone(four), voter("e", "5", false))
	six := append(slices.Clone(four), voter("e", "5", true), voter("f", "6", false))
	tests := []struct {
		name       string
		members    []replicator.MemberStatus
		candidates []*messenger.FleetHost
		// after is how long the members have been silent; add is the name of the hub to add,
		// remove the identity to remove, empty for none.
		after  time.Duration
		add    string
		remove string
	}{
		{"all vote", four, []*messenger.FleetHost{hub("b")}, time.Minute, "", ""},
		{"a new hub", four, []*messenger.FleetHost{hub("b"), hub("e")}, 0, "e", ""},
		{"a hub with a new disk", oneSilent, []*messenger.FleetHost{hub("d")}, 0, "d", ""},
		{"a silent voter that lowers the tolerance too far, at once", oneSilent, nil, 500 * time.Millisecond, "", ""},
		{"a silent voter that lowers the tolerance too far, soon", oneSilent, nil, time.Second, "", "4"},
		{"a superfluous silent voter, soon", five, nil, 2 * time.Second, "", ""},
		{"a superfluous silent voter, later", five, nil, 6 * time.Second, "", "5"},
		{"a silent voter that leaves enough tolerance", six, nil, 2 * time.Second, "", ""},
		{"a silent voter without a replacement", three, nil, time.Minute, "", ""},
		{"too few answer", twoSilent, nil, time.Minute, "", ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			p := &planner{self: "a", minVoters: 3}
			p.next(start, tt.members, nil)
			got := p.next(start.Add(tt.after), tt.members, tt.candidates)
			if got.add.GetName() != tt.add || got.remove != tt.remove {
				t.Errorf("add %q remove %q, want %q and %q", got.add.GetName(), got.remove, tt.add, tt.remove)
			}
		})
	}
}

func TestPlannerPostponesAFailedChange(t *testing.T) {
	p := &planner{self: "a", minVoters: 3}
	members := []replicator.MemberStatus{voter("a", "1", true)}
	candidates := []*messenger.FleetHost{{Name: "b"}, {Name: "c"}}
	p.postpone(start, "b")
	if got := p.next(start, members, candidates).add.GetName(); got != "c" {
		t.Errorf("next is %q after b failed, want c", got)
	}
	if got := p.next(start.Add(retryDelay), members, candidates).add.GetName(); got != "b" {
		t.Errorf("next is %q later, want b again", got)
	}
}

// TestSilentVoterIsRemovedOnceReplaced checks that a hub that is gone for good is removed within
// two seconds of its successor's vote: while four vote and three answer, no loss is tolerated.
func TestSilentVoterIsRemovedOnceReplaced(t *testing.T) {
	p := &planner{self: "b", minVoters: 3}
	members := []replicator.MemberStatus{voter("a", "1", false), voter("b", "2", true), voter("c", "3", true)}
	successor := []*messenger.FleetHost{{Name: "d", Hub: true}}
	if got := p.next(start, members, successor); got.add.GetName() != "d" {
		t.Fatalf("first change is %+v", got)
	}
	members = append(members, voter("d", "4", true))
	now := start
	for ; now.Before(start.Add(2 * time.Second)); now = now.Add(checkInterval) {
		if got := p.next(now, members, successor); got.remove == "1" {
			return
		}
	}
	t.Errorf("the silent voter is still a member after %v: with three of four voters left no loss is tolerated", now.Sub(start))
}
