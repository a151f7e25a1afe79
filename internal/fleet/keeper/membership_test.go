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

func TestWardenChoosesTheNextChange(t *testing.T) {
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
		after      time.Duration
		add        string
		remove     string
	}{
		{"all vote", four, []*messenger.FleetHost{hub("b")}, time.Minute, "", ""},
		{"a new hub", four, []*messenger.FleetHost{hub("b"), hub("e")}, 0, "e", ""},
		{"a hub with a new disk", oneSilent, []*messenger.FleetHost{hub("d")}, 0, "d", ""},
		{"a silent voter that costs a loss that must be borne, at once", oneSilent, nil, 500 * time.Millisecond, "", ""},
		{"a silent voter that costs a loss that must be borne, soon", oneSilent, nil, time.Second, "", "4"},
		{"a silent voter too many, soon", five, nil, 2 * time.Second, "", ""},
		{"a silent voter too many, later", five, nil, 6 * time.Second, "", "5"},
		{"a silent voter that costs nothing that must be borne", six, nil, 2 * time.Second, "", ""},
		{"a silent voter that is needed", three, nil, time.Minute, "", ""},
		{"too few answer", twoSilent, nil, time.Minute, "", ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			w := &warden{self: "a", quorumOf: 3}
			w.next(start, tt.members, nil)
			got := w.next(start.Add(tt.after), tt.members, tt.candidates)
			if got.add.GetName() != tt.add || got.remove != tt.remove {
				t.Errorf("add %q remove %q, want %q and %q", got.add.GetName(), got.remove, tt.add, tt.remove)
			}
		})
	}
}

func TestWardenTriesOtherHubsAfterAFailure(t *testing.T) {
	w := &warden{self: "a", quorumOf: 3}
	members := []replicator.MemberStatus{voter("a", "1", true)}
	candidates := []*messenger.FleetHost{{Name: "b"}, {Name: "c"}}
	w.leave(start, "b")
	if got := w.next(start, members, candidates).add.GetName(); got != "c" {
		t.Errorf("next is %q after b failed, want c", got)
	}
	if got := w.next(start.Add(addAgain), members, candidates).add.GetName(); got != "b" {
		t.Errorf("next is %q later, want b again", got)
	}
}

// TestSilentVoterIsReplacedBeforeAnotherLossMustBeBorne plays a hub that is gone for good
// and whose successor votes: from then on another loss must be borne.
func TestSilentVoterIsReplacedBeforeAnotherLossMustBeBorne(t *testing.T) {
	w := &warden{self: "b", quorumOf: 3}
	members := []replicator.MemberStatus{voter("a", "1", false), voter("b", "2", true), voter("c", "3", true)}
	successor := []*messenger.FleetHost{{Name: "d", Hub: true}}
	if got := w.next(start, members, successor); got.add.GetName() != "d" {
		t.Fatalf("first change is %+v", got)
	}
	members = append(members, voter("d", "4", true))
	now := start
	for ; now.Before(start.Add(2 * time.Second)); now = now.Add(manageEvery) {
		if got := w.next(now, members, successor); got.remove == "1" {
			return
		}
	}
	t.Errorf("the one that is gone still votes after %v: with three of four voters left none may be lost", now.Sub(start))
}
