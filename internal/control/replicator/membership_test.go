package replicator

import (
	"testing"

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
