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

// crowd is a control host with followers, one third of them entries.
type crowd struct {
	c         *Controller
	followers []*follower.Follower
	stop      func()
}

// newCrowd starts it and waits until all are members and know each other.
func newCrowd(b *testing.B, n int) *crowd {
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
	k := &crowd{c: &Controller{Name: "control-1", Settings: parser.Control{Listen: address}, Started: func() { close(started) }}}
	var wg sync.WaitGroup
	run := func(f func(context.Context) error) {
		wg.Go(func() {
			if err := f(ctx); err != nil {
				b.Error(err)
			}
		})
	}
	run(k.c.Run)
	<-started
	for i := range n {
		f := &follower.Follower{Addresses: []string{address}, Self: registrar.Member{
			Name: fmt.Sprintf("node-%d", i), Role: registrar.RoleAgent, Address: "10.20.30.40:18300", FailureDomain: "kingston", Region: "jm-south",
		}}
		if i%3 == 0 {
			f.Self.Role = registrar.RoleEntry
		}
		k.followers = append(k.followers, f)
		run(f.Run)
	}
	for _, f := range k.followers {
		for members(f) < n || !f.Fresh(time.Now()) {
			time.Sleep(10 * time.Millisecond)
		}
	}
	k.stop = func() {
		cancel()
		wg.Wait()
	}
	return k
}

func members(f *follower.Follower) int {
	n := 0
	f.View().EachMember(func(registrar.Member) { n++ })
	return n
}

// traffic returns the bytes of all followers so far.
func (k *crowd) traffic() (up, down float64) {
	for _, f := range k.followers {
		sent, received := f.Traffic()
		up += float64(sent)
		down += float64(received)
	}
	return up, down
}

// processorTime is what this process has used.
func processorTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkFollowers measures seconds of distribution: run it with -benchtime 10x.
// Processor time is of the control host and all followers together.
func BenchmarkFollowers(b *testing.B) {
	for _, n := range []int{30, 100, 300, 1000} {
		for _, busy := range []bool{false, true} {
			name := fmt.Sprintf("%d/idle", n)
			if busy {
				name = fmt.Sprintf("%d/loadsChange", n)
			}
			b.Run(name, func(b *testing.B) {
				k := newCrowd(b, n)
				defer k.stop()
				time.Sleep(3 * time.Second)
				up, down := k.traffic()
				used, began := processorTime(), time.Now()
				for i := range b.N {
					if busy {
						k.changeLoads(i)
					}
					time.Sleep(time.Second)
				}
				elapsed := time.Since(began).Seconds()
				upAfter, downAfter := k.traffic()
				b.ReportMetric((upAfter-up)/elapsed/float64(n), "upB/s/follower")
				b.ReportMetric((downAfter-down)/elapsed/float64(n), "downB/s/follower")
				b.ReportMetric((processorTime()-used).Seconds()*1e6/elapsed/float64(n), "µsCPU/s/follower")
			})
		}
	}
}

// changeLoads gives each agent another load.
func (k *crowd) changeLoads(i int) {
	for j, f := range k.followers {
		if f.Self.Role == registrar.RoleAgent {
			load := follower.Load{Used: float64((i*7+j)%31) / 31, Expected: float64((i*5+j)%31) / 31, Running: (i + j) % 128}
			f.SetReport(&messenger.Report{InProgress: uint32(load.Running), OldestSeconds: uint32(i), Load: follower.PackLoad(load)})
		}
	}
}

// BenchmarkChangeInForce measures from the proposal of a contract until every
// follower has applied it, and until control has all acknowledgements.
func BenchmarkChangeInForce(b *testing.B) {
	for _, n := range []int{30, 100, 300, 1000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			k := newCrowd(b, n)
			defer k.stop()
			used, applied := time.Duration(0), time.Duration(0)
			contract := registrar.Contract{Workspace: "choir"}
			replaces := uint64(0)
			for b.Loop() {
				contract.Priority++
				before, began := processorTime(), time.Now()
				put := registrar.PutContract{Replaces: replaces, Contract: contract}
				r, err := k.c.Propose(context.Background(), registrar.Command{PutContract: &put})
				if err != nil {
					b.Fatal(err)
				}
				replaces = r.Contract.Record.Number
				for _, f := range k.followers {
					for f.View().Index < r.Contract.Record.Index {
						time.Sleep(100 * time.Microsecond)
					}
				}
				applied += time.Since(began)
				for len(k.c.inForce(context.Background(), r.Contract.Record.Index, time.Now()).Missing) > 0 {
					time.Sleep(time.Millisecond)
				}
				used += processorTime() - before
			}
			b.ReportMetric(float64(applied.Microseconds())/float64(b.N)/1000, "msApplied/op")
			b.ReportMetric(float64(used.Microseconds())/float64(b.N)/float64(n), "µsCPU/op/follower")
		})
	}
}
