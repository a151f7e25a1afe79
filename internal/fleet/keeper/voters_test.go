package keeper

import "testing"

// A hub that no longer follows shows in the figures of the leader, and of no other hub.
func TestVotersThatAnswerAreCounted(t *testing.T) {
	f := newTestFleet(t, "a", "b", "c")
	count := func(want int) func() bool {
		return func() bool {
			leader := f.leader()
			if leader == nil {
				return false
			}
			voters, answering := leader.Voters()
			return voters == 3 && answering == want
		}
	}
	f.await("three voters that answer", count(3))
	follower := f.follower()
	if voters, answering := follower.Voters(); voters != 0 || answering != 0 {
		t.Errorf("a follower counts %d voters, %d of which answer", voters, answering)
	}
	f.lose(follower)
	f.await("one voter that does not answer", count(2))
}
