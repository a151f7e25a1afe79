package controller

import (
	"context"
	"fmt"
	"net"
	"os"
	"testing"
	"time"

	"go.uber.org/goleak"

	"verbenareach/internal/config/parser"
	"verbenareach/internal/control/follower"
	"verbenareach/internal/control/registrar"
	"verbenareach/internal/wire/messenger"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

// freeAddresses returns n different loopback addresses that nothing listens on. Their IP number is
// derived from the process id, so that no other process takes the ports meanwhile. All are held open
// until the last one is drawn.
func freeAddresses(t *testing.T, n int) (addresses []string) {
	t.Helper()
	pid := os.Getpid()
	ip := net.IPv4(127, 80+byte(pid>>16), byte(pid>>8), byte(pid))
	for range n {
		lis, err := net.Listen("tcp", net.JoinHostPort(ip.String(), "0"))
		if err != nil {
			t.Fatal(err)
		}
		defer lis.Close()
		addresses = append(addresses, lis.Addr().String())
	}
	return addresses
}

func freeAddress(t *testing.T) string {
	t.Helper()
	return freeAddresses(t, 1)[0]
}

func TestHostsGetTheSameAddress(t *testing.T) {
	for range 20_000 {
		if a := freeAddresses(t, 3); a[0] == a[1] || a[1] == a[2] || a[0] == a[2] {
			t.Fatalf("the same address twice: %v", a)
		}
	}
}

// background runs f until the test ends.
func background(t *testing.T, f func(context.Context) error) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- f(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Errorf("background: %v", err)
		}
	})
}

// eventually waits until ok returns true.
func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(30 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if ok() {
			return
		}
	}
	t.Fatalf("timed out waiting for: %s", what)
}

func TestFollowersLearnOfChanges(t *testing.T) {
	address := freeAddress(t)
	c := &Controller{Name: "control-1", Settings: parser.Control{Listen: address}}
	background(t, c.Run)
	entry := &follower.Follower{
		Addresses: []string{address}, Self: registrar.Member{Name: "entry-1", Role: registrar.RoleEntry, Address: "127.0.0.1:1"},
	}
	agent := &follower.Follower{
		Addresses: []string{address}, Self: registrar.Member{Name: "engine-1", Role: registrar.RoleAgent, Address: "127.0.0.1:2"},
	}
	background(t, entry.Run)
	background(t, agent.Run)
	eventually(t, "agent in the entry's view", func() bool {
		m, ok := entry.View().Member("engine-1")
		return ok && m.Incarnation == agent.Member().Incarnation && m.Ordinal != 0
	})
	eventually(t, "freshness", func() bool { return agent.Fresh(time.Now()) && entry.Fresh(time.Now()) })

	ctx := context.Background()
	contract := registrar.Contract{Workspace: "choir", Keys: []registrar.APIKey{{Name: "k", SHA256: registrar.HashKey("secret")}}}
	put := registrar.PutContract{Contract: contract, By: "op"}
	r, err := c.Propose(ctx, registrar.Command{PutContract: &put})
	if err != nil || r.Contract.Outcome != registrar.OutcomeAccepted {
		t.Fatalf("put: %+v, %v", r, err)
	}
	mark := registrar.SetMark{Server: "engine-1", Leaving: true, By: "op"}
	if r, err = c.Propose(ctx, registrar.Command{SetMark: &mark}); err != nil || r.Mark.Outcome != registrar.OutcomeAccepted {
		t.Fatalf("mark: %+v, %v", r, err)
	}
	eventually(t, "contract and mark", func() bool {
		_, ok := entry.View().ContractByKey("secret")
		return ok && agent.View().Mark("engine-1").Leaving
	})
	agent.SetReport(&messenger.Report{MarkNumber: 1, InProgress: 2, Load: follower.PackLoad(follower.Load{Running: 2})})
	eventually(t, "report", func() bool {
		for _, f := range c.distributor.Followers(time.Now()).GetFollowers() {
			if f.GetName() == "engine-1" && f.GetReport().GetMarkNumber() == 1 {
				return true
			}
		}
		return false
	})
	eventually(t, "load at the entry", func() bool {
		l, ok := entry.Load("engine-1")
		return ok && l.Running == 2
	})
}

func TestClaimsOverTheWire(t *testing.T) {
	address := freeAddress(t)
	background(t, (&Controller{Name: "control-1", Settings: parser.Control{Listen: address}}).Run)
	f := &follower.Follower{Addresses: []string{address}, Self: registrar.Member{Name: "entry-1", Role: registrar.RoleEntry}}
	background(t, f.Run)
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	claim := &messenger.Claim{Workspace: "choir", Key: "k1", Digest: []byte("d"), Server: "rota-1", Incarnation: 7}
	got, err := f.Claim(ctx, &messenger.ClaimRequest{Claim: claim, Claimant: "a"})
	if err != nil || got.GetStatus() != messenger.ClaimStatus_CLAIM_STATUS_GRANTED || got.GetClaim().GetEpoch() != 1 {
		t.Fatalf("first claim: %v, %v", got, err)
	}
	other, err := f.Claim(ctx, &messenger.ClaimRequest{Claim: claim, Claimant: "b"})
	if err != nil || other.GetStatus() != messenger.ClaimStatus_CLAIM_STATUS_PENDING {
		t.Fatalf("second claimant: %v, %v", other, err)
	}
	brief, cancelBrief := context.WithTimeout(ctx, 300*time.Millisecond)
	defer cancelBrief()
	if reply, err := f.RecordOutcome(brief, got.GetClaim(), &messenger.CallReply{Ran: messenger.Ran_RAN_UNKNOWN}); err == nil {
		t.Fatalf("an unknown outcome was committed: %v", reply)
	}
	outcome := &messenger.CallReply{Ran: messenger.Ran_RAN_YES, Status: 201, Body: []byte("booked")}
	if got, err = f.RecordOutcome(ctx, got.GetClaim(), outcome); err != nil || got.GetStatus() != messenger.ClaimStatus_CLAIM_STATUS_DONE {
		t.Fatalf("outcome: %v, %v", got, err)
	}
	again, err := f.Claim(ctx, &messenger.ClaimRequest{Claim: claim, Claimant: "c"})
	if err != nil || string(again.GetOutcome().GetBody()) != "booked" {
		t.Fatalf("same key again: %v, %v", again, err)
	}
}

func TestFollowersOfARestoredHost(t *testing.T) {
	address := freeAddress(t)
	c := &Controller{Name: "control-1", Settings: parser.Control{Listen: address}}
	started := make(chan struct{})
	c.Started = func() { close(started) }
	background(t, c.Run)
	<-started
	old := &follower.Follower{Addresses: []string{address}, Self: registrar.Member{Name: "entry-1", Role: registrar.RoleEntry}}
	background(t, old.Run)
	// The contracts, a megabyte in total, are sent to a new follower in several parts.
	const n = 400
	for i := range n {
		contract := registrar.Contract{Workspace: fmt.Sprintf("w-%d", i)}
		for j := range 30 {
			name := fmt.Sprintf("key-%d-%d", i, j)
			contract.Keys = append(contract.Keys, registrar.APIKey{Name: name, SHA256: registrar.HashKey(name)})
		}
		put := registrar.PutContract{Contract: contract}
		r, err := c.Propose(context.Background(), registrar.Command{PutContract: &put})
		if err != nil || r.Contract.Outcome != registrar.OutcomeAccepted {
			t.Fatalf("put %d: %+v, %v", i, r, err)
		}
	}
	data, err := c.snapshot()
	if err != nil {
		t.Fatal(err)
	}
	if err := c.restore(0, data); err != nil {
		t.Fatal(err)
	}
	late := &follower.Follower{Addresses: []string{address}, Self: registrar.Member{Name: "entry-2", Role: registrar.RoleEntry}}
	background(t, late.Run)
	for _, f := range []*follower.Follower{old, late} {
		eventually(t, "all contracts at "+f.Self.Name, func() bool {
			contracts := 0
			f.View().EachContract(func(registrar.Contract) { contracts++ })
			_, known := f.View().ContractByKey("key-399-29")
			return contracts == n && known && f.Fresh(time.Now())
		})
	}
	if err := c.restore(0, []byte("damaged")); err == nil {
		t.Error("a damaged snapshot was restored")
	}
}

func TestMembersLostWhileTheirHostWasDown(t *testing.T) {
	c := &Controller{Name: "control-1", Settings: parser.Control{Listen: freeAddress(t)}}
	started := make(chan struct{})
	c.Started = func() { close(started) }
	background(t, c.Run)
	<-started
	ctx := context.Background()
	for _, a := range []registrar.AnnounceMember{
		{Member: registrar.Member{Name: "engine-1", Incarnation: 4}, Host: "control-1"},
		{Member: registrar.Member{Name: "engine-2", Incarnation: 4}, Host: "control-2"},
	} {
		if _, err := c.Propose(ctx, registrar.Command{Announce: &a}); err != nil {
			t.Fatal(err)
		}
	}
	f := &follower.Follower{Addresses: []string{c.Settings.Listen}, Self: registrar.Member{Name: "engine-3", Role: registrar.RoleAgent}}
	background(t, f.Run)
	eventually(t, "the third member", func() bool {
		_, ok := f.View().Member("engine-3")
		return ok
	})
	c.expireLostMembers(ctx)
	view := c.distributor.View()
	for name, want := range map[string]bool{"engine-1": false, "engine-2": true, "engine-3": true} {
		if _, live := view.Member(name); live != want {
			t.Errorf("%s: live %v, want %v", name, live, want)
		}
	}
}
