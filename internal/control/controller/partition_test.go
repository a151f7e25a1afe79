package controller

import (
	"context"
	"fmt"
	"net"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"verbenareach/internal/config/parser"
	"verbenareach/internal/control/follower"
	"verbenareach/internal/control/registrar"
	"verbenareach/internal/operator/responder"
	"verbenareach/internal/wire/messenger"
)

// freezableProxy forwards bytes to a control host. While frozen it accepts
// connections and bytes and forwards nothing, like a silent partition.
type freezableProxy struct {
	address string
	target  string

	mu sync.Mutex
	// thawed is closed while the proxy is not frozen.
	thawed chan struct{}
	frozen bool
	conns  []net.Conn
	wg     sync.WaitGroup
}

func newFreezableProxy(t *testing.T, target string) *freezableProxy {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &freezableProxy{address: lis.Addr().String(), target: target, thawed: make(chan struct{})}
	close(p.thawed)
	p.wg.Go(func() {
		for {
			conn, err := lis.Accept()
			if err != nil {
				return
			}
			p.wg.Go(func() { p.forward(conn) })
		}
	})
	t.Cleanup(func() {
		lis.Close()
		p.setFrozen(false)
		p.mu.Lock()
		for _, conn := range p.conns {
			conn.Close()
		}
		p.mu.Unlock()
		p.wg.Wait()
	})
	return p
}

func (p *freezableProxy) forward(conn net.Conn) {
	defer conn.Close()
	out, err := net.Dial("tcp", p.target)
	if err != nil {
		return
	}
	defer out.Close()
	p.mu.Lock()
	p.conns = append(p.conns, conn, out)
	p.mu.Unlock()
	p.wg.Go(func() { p.copyBytes(conn, out) })
	p.copyBytes(out, conn)
}

func (p *freezableProxy) copyBytes(from, to net.Conn) {
	defer from.Close()
	defer to.Close()
	b := make([]byte, 4096)
	for {
		n, err := from.Read(b)
		if err != nil {
			return
		}
		p.mu.Lock()
		thawed := p.thawed
		p.mu.Unlock()
		<-thawed
		if _, err := to.Write(b[:n]); err != nil {
			return
		}
	}
}

func (p *freezableProxy) setFrozen(frozen bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case frozen && !p.frozen:
		p.thawed = make(chan struct{})
	case !frozen && p.frozen:
		close(p.thawed)
	}
	p.frozen = frozen
}

// testCluster is three control hosts that reach one another through proxies, with
// followers that reach them directly.
type testCluster struct {
	hosts     []*runningHost
	proxies   []*freezableProxy
	followers []*follower.Follower
}

func newTestCluster(t *testing.T, followers int) *testCluster {
	t.Helper()
	c := &testCluster{}
	var peers []parser.Peer
	var addresses []string
	listens := freeAddresses(t, 3)
	for i := range 3 {
		addresses = append(addresses, listens[i])
		c.proxies = append(c.proxies, newFreezableProxy(t, listens[i]))
		peers = append(peers, parser.Peer{Name: fmt.Sprint("control-", i), Address: c.proxies[i].address})
	}
	folder := t.TempDir()
	for i, p := range peers {
		h := startHost(p.Name, parser.Control{Listen: listens[i], DataFolder: filepath.Join(folder, p.Name), Peers: peers})
		c.hosts = append(c.hosts, h)
		t.Cleanup(func() { h.stop(t) })
	}
	for i := range followers {
		f := &follower.Follower{Addresses: addresses, Self: registrar.Member{Name: fmt.Sprint("node-", i), Role: registrar.RoleAgent}}
		if i%2 == 0 {
			f.Self.Role = registrar.RoleEntry
		}
		c.followers = append(c.followers, f)
		background(t, f.Run)
	}
	eventually(t, "all members at all followers", func() bool {
		for _, f := range c.followers {
			n := 0
			f.View().EachMember(func(registrar.Member) { n++ })
			if n != followers || !f.Fresh(time.Now()) {
				return false
			}
		}
		return true
	})
	return c
}

// followerCount returns the number of followers from which host i has had a message
// within 3 s.
func (c *testCluster) followerCount(i int) int {
	n := 0
	for _, f := range c.hosts[i].distributor.Followers(time.Now()).GetFollowers() {
		if f.GetSilentNanos() < int64(3*time.Second) {
			n++
		}
	}
	return n
}

func TestSilentPartitionOfAControlHost(t *testing.T) {
	t.Parallel()
	cluster := newTestCluster(t, 9)
	cut := 0
	for i := range cluster.hosts {
		if cluster.followerCount(i) > cluster.followerCount(cut) {
			cut = i
		}
	}
	if cluster.followerCount(cut) == 0 {
		t.Fatal("no host is followed")
	}
	// The host receives nothing from the others any more; its followers still reach it.
	cluster.proxies[cut].setFrozen(true)
	other := cluster.hosts[(cut+1)%3]
	putContract(t, other, "choir")
	var index uint64
	eventually(t, "the contract at the other host", func() bool {
		c, ok := other.distributor.View().Contract("choir")
		index = other.distributor.View().Index
		return ok && c.Number == 1
	})
	eventually(t, "the contract at all followers, and their acknowledgements", func() bool {
		for _, f := range cluster.followers {
			if _, ok := f.View().Contract("choir"); !ok {
				return false
			}
		}
		f := other.inForce(context.Background(), index, time.Now())
		return len(f.Missing) == 0 && f.Live == 9
	})
	if cluster.followerCount(cut) != 0 {
		eventually(t, "no follower at the cut host", func() bool { return cluster.followerCount(cut) == 0 })
	}
	if _, ok := cluster.hosts[cut].distributor.View().Contract("choir"); ok {
		t.Error("the cut host has the contract, so it wasn't cut")
	}
	cluster.proxies[cut].setFrozen(false)
	eventually(t, "the contract at the reconnected host", func() bool {
		_, ok := cluster.hosts[cut].distributor.View().Contract("choir")
		return ok
	})
}

func TestOperatorsRaceAtThreeHosts(t *testing.T) {
	t.Parallel()
	cluster := newTestCluster(t, 3)
	const rounds, operators = 15, 6
	for round := range rounds {
		outcomes := make([]registrar.ContractResult, operators)
		var wg sync.WaitGroup
		for i := range operators {
			wg.Go(func() {
				put := registrar.PutContract{
					Replaces: uint64(round), Contract: registrar.Contract{Workspace: "choir", Priority: int32(10*round + i)}, By: fmt.Sprint("op-", i),
				}
				for {
					// After a lost answer the same change is sent again, as an operator would.
					result, err := cluster.hosts[i%3].Propose(context.Background(), registrar.Command{PutContract: &put})
					if err == nil {
						outcomes[i] = *result.Contract
						return
					}
				}
			})
		}
		wg.Wait()
		winners := 0
		for i, o := range outcomes {
			if o.Outcome == registrar.OutcomeAccepted || o.Outcome == registrar.OutcomeRepeated {
				winners++
			}
			if o.Record.Number != uint64(round+1) || o.Record.By != outcomes[(i+1)%operators].Record.By {
				t.Errorf("round %d: operator %d was told of %+v", round, i, o.Record)
			}
		}
		if winners != 1 {
			t.Fatalf("round %d has %d winners: %+v", round, winners, outcomes)
		}
	}
}

func TestLoadsAndMarksAcrossControlHosts(t *testing.T) {
	t.Parallel()
	cluster := newTestCluster(t, 8)
	agent := cluster.followers[1]
	agent.SetReport(&messenger.Report{MarkNumber: 0, InProgress: 4, Load: follower.PackLoad(follower.Load{Running: 4})})
	eventually(t, "the agent's load at all entries", func() bool {
		for _, f := range cluster.followers {
			if l, ok := f.Load(agent.Self.Name); f.Self.Role == registrar.RoleEntry && (!ok || l.Running != 4) {
				return false
			}
		}
		return true
	})
	mark := registrar.SetMark{Server: agent.Self.Name, Leaving: true, By: "op"}
	if _, err := cluster.hosts[0].Propose(context.Background(), registrar.Command{SetMark: &mark}); err != nil {
		t.Fatal(err)
	}
	statusAt := func(i int) (status responder.Server) {
		for _, s := range cluster.hosts[i].servers(context.Background(), time.Now()).Servers {
			if s.Name == agent.Self.Name {
				status = s
			}
		}
		return status
	}
	confirmedAt := func(i int) bool { return statusAt(i).Confirmed }
	eventually(t, "the mark at the agent", func() bool { return agent.View().Mark(agent.Self.Name).Leaving })
	for i := range cluster.hosts {
		var status responder.Server
		eventually(t, "the mark at the host", func() bool {
			status = statusAt(i)
			return status.Mark.Leaving
		})
		if status.Confirmed {
			t.Errorf("host %d reports the mark as confirmed before the agent confirms it", i)
		}
	}
	agent.SetReport(&messenger.Report{MarkNumber: 1, InProgress: 4})
	eventually(t, "the confirmation at all hosts", func() bool { return confirmedAt(0) && confirmedAt(1) && confirmedAt(2) })
}
