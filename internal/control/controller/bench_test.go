package controller

import (
	"context"
	"fmt"
	"net"
	"sync"
	"syscall"
	"testing"
	"time"

	"verbenareach/internal/config/parser"
	"verbenareach/internal/control/follower"
	"verbenareach/internal/control/registrar"
	"verbenareach/internal/wire/messenger"
)

// benchHost is a control host with followers, one third of them entries.
type benchHost struct {
	c         *Controller
	followers []*follower.Follower
	stop      func()
}

// newBenchHost starts a control host with n followers and waits until every follower
// has all members.
func newBenchHost(b *testing.B, n int) *benchHost {
	b.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	address := lis.Addr().String()
	if err := lis.Close(); err != nil {
		b.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	started := make(chan struct{})
	h := &benchHost{c: &Controller{Name: "control-1", Settings: parser.Control{Listen: address}, Started: func() { close(started) }}}
	var wg sync.WaitGroup
	run := func(f func(context.Context) error) {
		wg.Go(func() {
			if err := f(ctx); err != nil {
				b.Error(err)
			}
		})
	}
	run(h.c.Run)
	<-started
	for i := range n {
		f := &follower.Follower{Addresses: []string{address}, Self: registrar.Member{
			Name: fmt.Sprintf("node-%d", i), Role: registrar.RoleAgent, Address: "10.20.30.40:18300", FailureDomain: "kingston", Region: "jm-south",
		}}
		if i%3 == 0 {
			f.Self.Role = registrar.RoleEntry
		}
		h.followers = append(h.followers, f)
		run(f.Run)
	}
	for _, f := range h.followers {
		for memberCount(f) < n || !f.Fresh(time.Now()) {
			time.Sleep(10 * time.Millisecond)
		}
	}
	h.stop = func() {
		cancel()
		wg.Wait()
	}
	return h
}

func memberCount(f *follower.Follower) int {
	n := 0
	f.View().EachMember(func(registrar.Member) { n++ })
	return n
}

// traffic returns the bytes that all followers have sent and received.
func (h *benchHost) traffic() (up, down float64) {
	for _, f := range h.followers {
		sent, received := f.Traffic()
		up += float64(sent)
		down += float64(received)
	}
	return up, down
}

// processorTime returns the CPU time that this process has used.
func processorTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkFollowers measures the traffic and CPU time of distribution; one iteration
// is one second, so run it with -benchtime 10x. The CPU time is that of the control
// host and all followers together.
func BenchmarkFollowers(b *testing.B) {
	for _, n := range []int{30, 100, 300, 1000} {
		for _, busy := range []bool{false, true} {
			name := fmt.Sprintf("%d/idle", n)
			if busy {
				name = fmt.Sprintf("%d/loadsChange", n)
			}
			b.Run(name, func(b *testing.B) {
				h := newBenchHost(b, n)
				defer h.stop()
				time.Sleep(3 * time.Second)
				up, down := h.traffic()
				used, began := processorTime(), time.Now()
				for i := range b.N {
					if busy {
						h.changeLoads(i)
					}
					time.Sleep(time.Second)
				}
				elapsed := time.Since(began).Seconds()
				upAfter, downAfter := h.traffic()
				b.ReportMetric((upAfter-up)/elapsed/float64(n), "upB/s/follower")
				b.ReportMetric((downAfter-down)/elapsed/float64(n), "downB/s/follower")
				b.ReportMetric((processorTime()-used).Seconds()*1e6/elapsed/float64(n), "µsCPU/s/follower")
			})
		}
	}
}

// changeLoads reports a new load from each agent.
func (h *benchHost) changeLoads(i int) {
	for j, f := range h.followers {
		if f.Self.Role == registrar.RoleAgent {
			load := follower.Load{Used: float64((i*7+j)%31) / 31, Expected: float64((i*5+j)%31) / 31, Running: (i + j) % 128}
			f.SetReport(&messenger.Report{InProgress: uint32(load.Running), OldestSeconds: uint32(i), Load: follower.PackLoad(load)})
		}
	}
}

// BenchmarkChangeInForce measures the time from the proposal of a contract until
// every follower has applied it, and until control has all acknowledgements.
func BenchmarkChangeInForce(b *testing.B) {
	for _, n := range []int{30, 100, 300, 1000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			h := newBenchHost(b, n)
			defer h.stop()
			used, applied := time.Duration(0), time.Duration(0)
			contract := registrar.Contract{Workspace: "choir"}
			replaces := uint64(0)
			for b.Loop() {
				contract.Priority++
				before, began := processorTime(), time.Now()
				put := registrar.PutContract{Replaces: replaces, Contract: contract}
				r, err := h.c.Propose(context.Background(), registrar.Command{PutContract: &put})
				if err != nil {
					b.Fatal(err)
				}
				replaces = r.Contract.Record.Number
				for _, f := range h.followers {
					for f.View().Index < r.Contract.Record.Index {
						time.Sleep(100 * time.Microsecond)
					}
				}
				applied += time.Since(began)
				for len(h.c.inForce(context.Background(), r.Contract.Record.Index, time.Now()).Missing) > 0 {
					time.Sleep(time.Millisecond)
				}
				used += processorTime() - before
			}
			b.ReportMetric(float64(applied.Microseconds())/float64(b.N)/1000, "msApplied/op")
			b.ReportMetric(float64(used.Microseconds())/float64(b.N)/float64(n), "µsCPU/op/follower")
		})
	}
}
