package registrar

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"github.com/leanovate/gopter/prop"
)

func TestHistories(t *testing.T) {
	p := properties()
	p.Property("one winner for each number, and a resend gets its first answer", prop.ForAll(oneWinner, histories()))
	p.Property("a claim is granted to one claimant, and again only after a refusal", prop.ForAll(atMostOnce, histories()))
	p.Property("a restored snapshot is the same state, also after further commands", prop.ForAll(sameAfterRestore, histories(), histories()))
	p.Property("a lower index changes nothing, and the view's index never falls", prop.ForAll(indexNeverFalls, histories()))
	p.Property("applying the changes to a view gives the state's view", prop.ForAll(changesReproduceView, histories()))
	p.Property("fencing numbers increase", prop.ForAll(fencesIncrease, histories()))
	checkProperties(t, p)
}

func oneWinner(history []uint32) bool {
	a := newApplier()
	winners, records := make(map[string]string), make(map[string]string)
	for i, n := range history {
		c := commandFrom(n)
		r := a.apply(c)
		if i%43 == 0 {
			a.restart()
		}
		var id, content, record string
		var outcome Outcome
		switch {
		case r.Contract != nil:
			outcome = r.Contract.Outcome
			id = fmt.Sprintf("%s/%d", c.PutContract.Contract.Workspace, c.PutContract.Replaces+1)
			content = string(c.PutContract.Contract.Digest())
			record = fmt.Sprint(r.Contract.Record.Number, r.Contract.Record.By, r.Contract.Record.At, r.Contract.Record.Index)
		case r.Mark != nil:
			outcome = r.Mark.Outcome
			id = fmt.Sprintf("%s/%d", c.SetMark.Server, c.SetMark.Replaces+1)
			content = fmt.Sprint(c.SetMark.Leaving)
			record = fmt.Sprint(r.Mark.Mark)
		default:
			continue
		}
		winner, decided := winners[id]
		switch outcome {
		case OutcomeAccepted:
			if decided {
				return false
			}
			winners[id], records[id] = content, record
		case OutcomeRepeated:
			if winner != content || records[id] != record {
				return false
			}
		case OutcomeConflict:
			if decided && (winner == content || records[id] != record) {
				return false
			}
		default:
			return false
		}
	}
	return true
}

func atMostOnce(history []uint32) bool {
	a := newApplier()
	granted := make(map[string]string)
	replies := make(map[claimID][]byte)
	refused := make(map[string]bool)
	for i, n := range history {
		c := commandFrom(n)
		if c.Tick != nil {
			// Ticks are left out, so that no claim expires.
			continue
		}
		r := a.apply(c).Claim
		if i%47 == 0 {
			a.restart()
		}
		if r == nil {
			continue
		}
		id := claimID{r.Claim.Workspace, r.Claim.Key}
		epoch := func(e uint32) string { return fmt.Sprint(id, e) }
		if replies[id] != nil && (r.Status == ClaimGranted || r.Status == ClaimRefused) {
			return false
		}
		switch r.Status {
		case ClaimGranted:
			holder := fmt.Sprint(c.Claim.Claimant, r.Claim.Server, r.Claim.Incarnation)
			if old, ok := granted[epoch(r.Claim.Epoch)]; ok && old != holder && c.Claim.Claimant != old[:len(c.Claim.Claimant)] {
				return false
			}
			if r.Claim.Epoch > 1 && !refused[epoch(r.Claim.Epoch-1)] {
				return false
			}
			granted[epoch(r.Claim.Epoch)] = holder
		case ClaimRefused:
			refused[epoch(r.Claim.Epoch)] = true
		case ClaimDone:
			if old, ok := replies[id]; ok && !bytes.Equal(old, r.Reply) || refused[epoch(r.Claim.Epoch)] {
				return false
			}
			replies[id] = r.Reply
		}
	}
	return true
}

func sameAfterRestore(before, after []uint32) bool {
	a := newApplier()
	for _, n := range before {
		a.apply(commandFrom(n))
	}
	b := &applier{state: a.state, index: a.index}
	b.restart()
	for _, n := range after {
		if !cmp.Equal(a.apply(commandFrom(n)), b.apply(commandFrom(n))) {
			return false
		}
	}
	one, err := a.state.Snapshot()
	if err != nil {
		return false
	}
	two, err := b.state.Snapshot()
	return err == nil && bytes.Equal(one, two) && sameView(a.state.View(), b.state.View())
}

func indexNeverFalls(history []uint32) bool {
	s := NewState()
	for i, n := range history {
		data, err := commandFrom(n).Encode()
		if err != nil {
			return false
		}
		// Indexes are late, repeated and with gaps.
		index := uint64(i + int(n%7))
		before, view := s.Index(), s.View()
		result, changes := s.Apply(index, data)
		if index <= before && (result != nil || changes != nil || s.Index() != before || !sameView(view, s.View())) {
			return false
		}
		if s.Index() < before || s.View().Index != s.Index() {
			return false
		}
	}
	return true
}

func changesReproduceView(history []uint32) bool {
	s, v := NewState(), View{}
	for i, n := range history {
		data, err := commandFrom(n).Encode()
		if err != nil {
			return false
		}
		_, changes := s.Apply(uint64(i+1), data)
		v = v.WithChanges(uint64(i+1), changes...)
	}
	return sameView(v, s.View())
}

func fencesIncrease(history []uint32) bool {
	a := newApplier()
	last := make(map[string]uint64)
	for _, n := range history {
		c := commandFrom(n)
		r := a.apply(c)
		if c.Fence == nil || r.Fence.Fence == 0 {
			continue
		}
		if r.Fence.Fence <= last[c.Fence.Server] || len(a.state.fences.loadPermits) > maxConcurrentLoads {
			return false
		}
		last[c.Fence.Server] = r.Fence.Fence
	}
	return true
}

func sameView(a, b View) bool {
	return a.Index == b.Index && cmp.Equal(a.contracts, b.contracts, cmpopts.EquateEmpty()) &&
		cmp.Equal(a.marks, b.marks, cmpopts.EquateEmpty()) && cmp.Equal(a.members, b.members, cmpopts.EquateEmpty()) &&
		cmp.Equal(a.workspaces, b.workspaces, cmpopts.EquateEmpty())
}

func TestResendsAfterManyChanges(t *testing.T) {
	a := newApplier()
	put := func(replaces uint64, content int) ContractResult {
		c := contractOf("choir", content)
		return *a.apply(Command{PutContract: &PutContract{Replaces: replaces, Contract: c, By: "ieva", At: int64(content)}}).Contract
	}
	first := put(0, 0)
	for i := 1; i <= 500; i++ {
		if r := put(uint64(i), i); r.Outcome != OutcomeAccepted || r.Record.Number != uint64(i+1) {
			t.Fatalf("change %d: %+v", i, r)
		}
		if i%100 == 0 {
			a.restart()
		}
	}
	if r := put(0, 0); r.Outcome != OutcomeRepeated || !cmp.Equal(r.Record, first.Record) || r.Current != 501 {
		t.Errorf("resend of the first change: %+v, want the first answer %+v", r, first)
	}
	if r := put(250, 250); r.Outcome != OutcomeRepeated || r.Record.Number != 251 {
		t.Errorf("resend of change 250: %+v", r)
	}
	r := put(250, 7)
	if r.Outcome != OutcomeConflict || r.Record.Number != 251 || r.Record.At != 250 || r.Winner.Number != 501 {
		t.Errorf("late conflicting change under number 251: %+v", r)
	}
	if r := put(600, 1); r.Outcome != OutcomeConflict || r.Record.Number != 0 || r.Current != 501 {
		t.Errorf("a change that replaces a number above the current one: %+v", r)
	}
	if got := len(a.state.History("choir")); got != 501 {
		t.Errorf("history has %d records, want 501", got)
	}
}

func TestDroppedRecordsWinNoConflict(t *testing.T) {
	b := &contractTable{}
	b.init()
	b.recordLimit = 100
	for i := range b.recordLimit + 10 {
		b.put(uint64(i+1), PutContract{Replaces: uint64(i), Contract: contractOf("choir", i%900)})
	}
	if len(b.order) != b.recordLimit || len(b.records["choir"]) != b.recordLimit {
		t.Fatalf("%d records kept, bound is %d", len(b.order), maxRecords)
	}
	// The record is dropped: the change is neither accepted again nor answered
	// with the accepted record.
	r, _ := b.put(1<<30, PutContract{Replaces: 3, Contract: contractOf("choir", 3)})
	if r.Outcome != OutcomeConflict || r.Record.Number != 0 {
		t.Errorf("resend of a change whose record was dropped: %+v", r)
	}
}

func TestMembers(t *testing.T) {
	a := newApplier()
	announce := func(incarnation uint64, address, host string) MemberResult {
		m := Member{Name: "engine-1", Role: RoleAgent, Incarnation: incarnation, Address: address}
		return *a.apply(Command{Announce: &AnnounceMember{Member: m, Host: host, At: int64(a.index)}}).Member
	}
	first := announce(5, "a", "c-1")
	a.apply(Command{SetMark: &SetMark{Server: "engine-1", Leaving: true}})
	if r := announce(4, "late", "c-2"); r.Accepted || r.Incarnation != 5 {
		t.Errorf("late announcement of an older incarnation: %+v", r)
	}
	second := announce(9, "b", "c-2")
	if m, _ := a.state.View().Member("engine-1"); m.Address != "b" || m.Incarnation != 9 || m.Ordinal != 1 {
		t.Errorf("after the restart: %+v", m)
	}
	if !a.state.View().Mark("engine-1").Leaving {
		t.Error("an announcement cleared the mark")
	}
	a.apply(Command{Expire: &ExpireMember{Name: "engine-1", Incarnation: 5, Announcement: first.Announcement}})
	if _, live := a.state.View().Member("engine-1"); !live {
		t.Error("a late expiry removed the newer incarnation")
	}
	moved := announce(9, "b", "c-1")
	a.apply(Command{Expire: &ExpireMember{Name: "engine-1", Incarnation: 9, Announcement: second.Announcement}})
	if _, live := a.state.View().Member("engine-1"); !live {
		t.Error("the former control host's expiry removed a member that moved")
	}
	a.apply(Command{Expire: &ExpireMember{Name: "engine-1", Incarnation: 9, Announcement: moved.Announcement}})
	if _, live := a.state.View().Member("engine-1"); live {
		t.Error("the member was not removed")
	}
	if r := announce(8, "late", "c-1"); r.Accepted {
		t.Error("an older incarnation was accepted after the removal")
	}
}

func TestMembersExpireWithTheirControlHost(t *testing.T) {
	a := newApplier()
	for i, host := range []string{"c-1", "c-2", "c-2"} {
		m := Member{Name: fmt.Sprintf("engine-%d", i), Incarnation: 1}
		a.apply(Command{Announce: &AnnounceMember{Member: m, Host: host}})
	}
	for i := range 5 {
		a.apply(Command{Renew: &RenewHost{Host: "c-1"}})
		a.apply(Command{Tick: &Tick{Number: uint64(i + 1), Elapsed: Duration(5 * time.Second)}})
		// The same tick from another host counts once.
		a.apply(Command{Tick: &Tick{Number: uint64(i + 1), Elapsed: Duration(5 * time.Second)}})
	}
	if a.state.Elapsed() != 25*time.Second {
		t.Errorf("elapsed %s, want 25s", a.state.Elapsed())
	}
	live := 0
	a.state.View().EachMember(func(Member) { live++ })
	if _, ok := a.state.View().Member("engine-0"); !ok || live != 1 {
		t.Errorf("%d members live, want only the one of the control host that renewed", live)
	}
}

func TestClockJumpsDontEndRetention(t *testing.T) {
	a := newApplier()
	c := Claim{Workspace: "w", Key: "k", Digest: []byte("d"), Server: "s", Incarnation: 1}
	claim := func(claimant string) ClaimResult {
		return *a.apply(Command{Claim: &MakeClaim{Claim: c, Claimant: claimant}}).Claim
	}
	claim("a")
	a.apply(Command{Tick: &Tick{Number: 1, Elapsed: Duration(365 * 24 * time.Hour)}})
	a.apply(Command{Tick: &Tick{Number: 2, Elapsed: Duration(-time.Hour)}})
	if a.state.Elapsed() != MaxTick {
		t.Errorf("a jump of a year counted as %s", a.state.Elapsed())
	}
	if r := claim("b"); r.Status != ClaimPending {
		t.Errorf("after a clock jump: %+v", r)
	}
	for i := range uint64(DefaultRetention / MaxTick) {
		a.apply(Command{Tick: &Tick{Number: i + 3, Elapsed: Duration(MaxTick)}})
	}
	if got := len(a.state.claims.records) + a.state.claims.bytes + len(a.state.claims.expiries) + len(a.state.claims.perWorkspace); got != 0 {
		t.Errorf("claims are still kept after the retention: %+v", a.state.claims)
	}
}

func TestClaimBounds(t *testing.T) {
	a := newApplier()
	claim := func(key string, digest byte) ClaimResult {
		c := Claim{Workspace: "w", Key: key, Digest: []byte{digest}, Server: "s", Incarnation: 1}
		return *a.apply(Command{Claim: &MakeClaim{Claim: c, Claimant: "a"}}).Claim
	}
	if r := claim(string(bytes.Repeat([]byte("k"), MaxClaimKeyBytes+1)), 1); r.Status != ClaimFull {
		t.Errorf("a key over the bound: %s", r.Status)
	}
	granted := claim("k", 1)
	if r := claim("k", 2); r.Status != ClaimConflict {
		t.Errorf("same key, other digest: %s", r.Status)
	}
	big := RecordOutcome{Claim: granted.Claim, Reply: make([]byte, MaxOutcomeBytes+1)}
	if r := a.apply(Command{Outcome: &big}).Claim; r.Status != ClaimDone || !r.BodyDropped || len(r.Reply) != 0 {
		t.Errorf("an outcome over the bound: %s, dropped %v, %d bytes", r.Status, r.BodyDropped, len(r.Reply))
	}
	a.state.claims.perWorkspace["w"] = maxClaimsPerWorkspace
	if r := claim("another", 1); r.Status != ClaimFull {
		t.Errorf("a workspace at its bound: %s", r.Status)
	}
}

func TestFencesOfServersThatIgnoreThem(t *testing.T) {
	a := newApplier()
	issue := func(holder string, checks bool) FenceResult {
		f := IssueFence{Server: "engine-1", Holder: holder, Lease: Duration(20 * time.Second), ChecksFences: checks}
		return *a.apply(Command{Fence: &f}).Fence
	}
	first := issue("a", false)
	if again := issue("a", false); again.Fence <= first.Fence {
		t.Errorf("the holder's next number: %+v", again)
	}
	if r := issue("b", false); r.Fence != 0 || r.Wait <= 0 {
		t.Errorf("a successor within the lease: %+v", r)
	}
	if r := issue("b", true); r.Fence == 0 {
		t.Errorf("a successor at a server that checks: %+v", r)
	}
	for i := range uint64(4) {
		a.apply(Command{Tick: &Tick{Number: i + 1, Elapsed: Duration(MaxTick)}})
	}
	if r := issue("c", false); r.Fence == 0 {
		t.Errorf("a successor after the lease: %+v", r)
	}
}

func TestUnknownCommands(t *testing.T) {
	s := NewState()
	for i, text := range []string{"", "{", `{"later":{}}`, "\x00\x01"} {
		result, changes := s.Apply(uint64(i+1), []byte(text))
		r, err := DecodeResult(result)
		if err != nil || !r.Unknown || changes != nil || s.Index() != uint64(i+1) {
			t.Errorf("%q: %s, %v", text, result, err)
		}
	}
	if _, err := Restore([]byte("no snapshot")); err == nil {
		t.Error("a damaged snapshot was restored")
	}
}

func TestFewLoadsAtOnce(t *testing.T) {
	a := newApplier()
	load := func(i int) FenceResult {
		f := IssueFence{Server: fmt.Sprintf("engine-%d", i), Holder: "placer", Load: true, ChecksFences: true}
		return *a.apply(Command{Fence: &f}).Fence
	}
	first := load(0)
	for i := 1; i < maxConcurrentLoads; i++ {
		load(i)
	}
	if r := load(maxConcurrentLoads); r.Fence != 0 || r.Wait <= 0 {
		t.Errorf("a load over the bound: %+v", r)
	}
	a.apply(Command{FinishLoad: &FinishLoad{Server: "engine-0", Fence: first.Fence + 1}})
	if r := load(maxConcurrentLoads); r.Fence != 0 {
		t.Errorf("after the end of another load of that server: %+v", r)
	}
	a.apply(Command{FinishLoad: &FinishLoad{Server: "engine-0", Fence: first.Fence}})
	if r := load(maxConcurrentLoads); r.Fence == 0 {
		t.Errorf("after a load ended: %+v", r)
	}
}
