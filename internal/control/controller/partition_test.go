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
	"verbenareach/internal/wire/messenger"
)

// link passes bytes on to a control host. Frozen, it takes connections and
// bytes and passes nothing on, as a silent partition does.
type link struct {
	address string
	target  string

	mu     sync.Mutex
	thawed chan struct{}
	frozen bool
	conns  []net.Conn
	wg     sync.WaitGroup
}

func newLink(t *testing.T, target string) *link {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := &link{address: lis.Addr().String(), target: target, thawed: make(chan struct{})}
	close(l.thawed)
	l.wg.Go(func() {
		for {
			conn, err := lis.Accept()
			if err != nil {
				return
			}
			l.wg.Go(func() { l.join(conn) })
		}
	})
	t.Cleanup(func() {
		lis.Close()
		l.freeze(false)
		l.mu.Lock()
		for _, conn := range l.conns {
			conn.Close()
		}
		l.mu.Unlock()
		l.wg.Wait()
	})
	return l
}

func (l *link) join(conn net.Conn) {
	defer conn.Close()
	out, err := net.Dial("tcp", l.target)
	if err != nil {
		return
	}
	defer out.Close()
	l.mu.Lock()
	l.conns = append(l.conns, conn, out)
	l.mu.Unlock()
	l.wg.Go(func() { l.pass(conn, out) })
	l.pass(out, conn)
}

func (l *link) pass(from, to net.Conn) {
	defer from.Close()
	defer to.Close()
	b := make([]byte, 4096)
	for {
		n, err := from.Read(b)
		if err != nil {
			return
		}
		l.mu.Lock()
		thawed := l.thawed
		l.mu.Unlock()
		<-thawed
		if _, err := to.Write(b[:n]); err != nil {
			return
		}
	}
}

func (l *link) freeze(frozen bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case frozen && !l.frozen:
		l.thawed = make(chan struct{})
	case !frozen && l.frozen:
		close(l.thawed)
	}
	l.frozen = frozen
}

// region is three control hosts behind links, with followers.
type region struct {
	hosts     []*running
	links     []*link
	followers []*follower.Follower
}

func newRegion(t *testing.T, followers int) *region {
	t.Helper()
	r := &region{}
	var peers []parser.Peer
	var listens, addresses []string
	for i := range 3 {
		listens = append(listens, freeAddress(t))
		addresses = append(addresses, listens[i])
		r.links = append(r.links, newLink(t, listens[i]))
		peers = append(peers, parser.Peer{Name: fmt.Sprint("control-", i), Address: r.links[i].address})
	}
	folder := t.TempDir()
	for i, p := range peers {
		h := startHost(p.Name, parser.Control{Listen: listens[i], DataFolder: filepath.Join(folder, p.Name), Peers: peers})
		r.hosts = append(r.hosts, h)
		t.Cleanup(func() { h.stop(t) })
	}
	for i := range followers {
		f := &follower.Follower{Addresses: addresses, Self: registrar.Member{Name: fmt.Sprint("node-", i), Role: registrar.RoleAgent}}
		if i%2 == 0 {
			f.Self.Role = registrar.RoleEntry
		}
		r.followers = append(r.followers, f)
		background(t, f.Run)
	}
	eventually(t, "all members at all followers", func() bool {
		for _, f := range r.followers {
			n := 0
			f.View().EachMember(func(registrar.Member) { n++ })
			if n != followers || !f.Fresh(time.Now()) {
				return false
			}
		}
		return true
	})
	return r
}

// held returns how many followers a host hears.
func (r *region) held(i int) int {
	n := 0
	for _, f := range r.hosts[i].distributor.Followers(time.Now()).GetFollowers() {
		if f.GetSilentNanos() < int64(3*time.Second) {
			n++
		}
	}
	return n
}

func TestSilentPartitionOfAControlHost(t *testing.T) {
	t.Parallel()
	r := newRegion(t, 9)
	cut := 0
	for i := range r.hosts {
		if r.held(i) > r.held(cut) {
			cut = i
		}
	}
	if r.held(cut) == 0 {
		t.Fatal("no host is followed")
	}
	// The host hears nothing from the others any more; its followers still reach it.
	r.links[cut].freeze(true)
	other := r.hosts[(cut+1)%3]
	putUntil(t, other, "choir")
	var index uint64
	eventually(t, "the contract at the other host", func() bool {
		c, ok := other.distributor.View().Contract("choir")
		index = other.distributor.View().Index
		return ok && c.Number == 1
	})
	eventually(t, "the contract at all followers, and their acknowledgements", func() bool {
		for _, f := range r.followers {
			if _, ok := f.View().Contract("choir"); !ok {
				return false
			}
		}
		f := other.inForce(context.Background(), index, time.Now())
		return len(f.Missing) == 0 && f.Live == 9
	})
	if r.held(cut) != 0 {
		eventually(t, "no follower at the cut host", func() bool { return r.held(cut) == 0 })
	}
	if _, ok := r.hosts[cut].distributor.View().Contract("choir"); ok {
		t.Error("the cut host knows the contract: it wasn't cut")
	}
	r.links[cut].freeze(false)
	eventually(t, "the contract at the host that came back", func() bool {
		_, ok := r.hosts[cut].distributor.View().Contract("choir")
		return ok
	})
}

func TestOperatorsRaceAtThreeHosts(t *testing.T) {
	t.Parallel()
	r := newRegion(t, 3)
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
					// A lost answer is asked for again, as an operator would.
					result, err := r.hosts[i%3].Propose(context.Background(), registrar.Command{PutContract: &put})
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
	r := newRegion(t, 8)
	agent := r.followers[1]
	agent.SetReport(&messenger.Report{MarkNumber: 0, InProgress: 4, Load: follower.PackLoad(follower.Load{Running: 4})})
	eventually(t, "the agent's load at all entries", func() bool {
		for _, f := range r.followers {
			if l, ok := f.Load(agent.Self.Name); f.Self.Role == registrar.RoleEntry && (!ok || l.Running != 4) {
				return false
			}
		}
		return true
	})
	mark := registrar.SetMark{Server: agent.Self.Name, Leaving: true, By: "op"}
	if _, err := r.hosts[0].Propose(context.Background(), registrar.Command{SetMark: &mark}); err != nil {
		t.Fatal(err)
	}
	confirmedAt := func(i int) (confirmed bool) {
		for _, s := range r.hosts[i].servers(context.Background(), time.Now()).Servers {
			if s.Name == agent.Self.Name {
				confirmed = s.Confirmed
			}
		}
		return confirmed
	}
	eventually(t, "the mark at the agent", func() bool { return agent.View().Mark(agent.Self.Name).Leaving })
	for i := range r.hosts {
		if confirmedAt(i) {
			t.Errorf("host %d calls the mark confirmed before the agent does", i)
		}
	}
	agent.SetReport(&messenger.Report{MarkNumber: 1, InProgress: 4})
	eventually(t, "the confirmation at all hosts", func() bool { return confirmedAt(0) && confirmedAt(1) && confirmedAt(2) })
}
