package registrar

import (
	"fmt"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
)

// applier applies commands to a state at increasing indexes.
type applier struct {
	state *State
	index uint64
}

// apply applies one command at the next index.
func (a *applier) apply(c Command) Result {
	data, err := c.Encode()
	if err != nil {
		panic(err)
	}
	a.index++
	encoded, _ := a.state.Apply(a.index, data)
	r, err := DecodeResult(encoded)
	if err != nil {
		panic(err)
	}
	return r
}

// restart replaces the state by one restored from its snapshot.
func (a *applier) restart() {
	data, err := a.state.Snapshot()
	if err != nil {
		panic(err)
	}
	if a.state, err = Restore(data); err != nil {
		panic(err)
	}
}

func newApplier() *applier {
	return &applier{state: NewState()}
}

// contractOf returns a contract of a workspace; equal contents make equal contracts.
func contractOf(workspace string, content int) Contract {
	key := APIKey{Name: "k", SHA256: HashKey(workspace)}
	return Contract{Workspace: workspace, Keys: []APIKey{key}, Priority: int32(content)}
}

// commandFrom turns a number into one of a few thousand commands. Numbers,
// epochs and incarnations are small, so that conflicts are common.
func commandFrom(n uint32) Command {
	kind, rest := n%16, int(n/16)
	pick := func(m int) int {
		v := rest % m
		rest /= m
		return v
	}
	name := func(prefix string, m int) string { return fmt.Sprintf("%s-%d", prefix, pick(m)) }
	claim := func() Claim {
		return Claim{
			Workspace: "w-0", Key: name("k", 2), Digest: []byte{byte(pick(8) / 7)}, Server: name("s", 2),
			Incarnation: 1, Epoch: uint32(pick(2) + 1),
		}
	}
	switch kind {
	case 0, 1, 2:
		p := PutContract{Replaces: uint64(pick(6)), By: name("op", 3), At: int64(pick(9))}
		p.Contract = contractOf(name("w", 2), pick(3))
		return Command{PutContract: &p}
	case 3, 4:
		return Command{SetMark: &SetMark{Server: name("s", 2), Replaces: uint64(pick(6)), Leaving: pick(2) == 0, By: name("op", 3)}}
	case 5, 6:
		m := Member{Name: name("s", 3), Role: RoleAgent, Incarnation: uint64(pick(4)), Address: name("a", 3)}
		return Command{Announce: &AnnounceMember{Member: m, Host: name("c", 2), At: int64(pick(9))}}
	case 7:
		return Command{Expire: &ExpireMember{Name: name("s", 3), Incarnation: uint64(pick(4)), Announcement: uint64(pick(12))}}
	case 8, 9, 10:
		return Command{Claim: &MakeClaim{Claim: claim(), Claimant: name("e", 3), AfterEpoch: uint32(pick(3))}}
	case 11:
		return Command{Outcome: &RecordOutcome{Claim: claim(), Reply: []byte(name("r", 3))}}
	case 12:
		return Command{Refuse: &RefuseClaim{Claim: claim()}}
	case 13:
		return Command{Fence: &IssueFence{Server: name("s", 6), Holder: name("h", 2), Load: pick(2) == 0, ChecksFences: pick(2) == 0}}
	case 14:
		return Command{FinishLoad: &FinishLoad{Server: name("s", 6), Fence: uint64(pick(20))}}
	default:
		if pick(3) == 0 {
			return Command{Renew: &RenewHost{Host: name("c", 2)}}
		}
		return Command{Tick: &Tick{Number: uint64(pick(8) + 1), Elapsed: Duration(time.Hour)}}
	}
}

// properties returns an empty set of properties with a fixed seed.
func properties() *gopter.Properties {
	p := gopter.DefaultTestParametersWithSeed(20261204)
	p.MinSuccessfulTests = 60
	p.MinSize, p.MaxSize = 40, 140
	return gopter.NewProperties(p)
}

// histories generates lists of numbers for commandFrom.
func histories() gopter.Gen {
	return gen.SliceOf(gen.UInt32())
}

// checkProperties runs the properties of p.
func checkProperties(t *testing.T, p *gopter.Properties) {
	t.Helper()
	p.TestingRun(t)
}
