package replicator

import (
	"testing"
	"time"

	"verbenareach/internal/wire/messenger"
)

func TestShareMember(t *testing.T) {
	list := func(ids ...string) (members []*messenger.LogMember) {
		for _, id := range ids {
			members = append(members, &messenger.LogMember{Id: id, Name: "host-" + id})
		}
		return members
	}
	tests := []struct {
		name string
		a, b []*messenger.LogMember
		want bool
	}{
		{"an older one of the same log", list("1", "2", "3"), list("2", "4"), true},
		{"one of another log with the same names", list("1", "2"), []*messenger.LogMember{{Id: "9", Name: "host-1"}}, false},
		{"none", list("1"), nil, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if got := shareMember(tt.a, tt.b); got != tt.want {
				t.Errorf("share a member = %v, want %v", got, tt.want)
			}
		})
	}
}

// TestVoterIsCalledAtItsFormerAddress: a voter has moved with its disk, and a quorum needs its vote.
func TestVoterIsCalledAtItsFormerAddress(t *testing.T) {
	n := newNetwork(t, 28)
	n.cluster("a", "b", "c")
	n.propose("c1")
	lead := n.awaitLeader()
	moved := n.host("a")
	if moved == lead {
		moved = n.host("b")
	}
	if err := n.stop(moved.Name); err != nil {
		t.Fatal(err)
	}
	n.start(&Replicator{Name: moved.Name, Address: "d", Peers: moved.Peers, Folder: moved.Folder})
	n.eventually("the moved voter follows", func() bool { return n.host("d").Status().Leader.Name == lead.Name })
	n.isolate("d", true)
	n.propose("c2") // So only the third host may lead now.
	if err := n.stop(lead.Name); err != nil {
		t.Fatal(err)
	}
	n.isolate("d", false)
	begun := time.Now()
	n.propose("c3")
	if took, limit := time.Since(begun), 20*lead.ElectionTimeout; took > limit {
		t.Errorf("no change was taken for %v, want at most %v", took, limit)
	}
}
