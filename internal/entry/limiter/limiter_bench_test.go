package limiter

import (
	"context"
	"fmt"
	"runtime"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"verbenareach/internal/control/registrar"
	"verbenareach/internal/wire/messenger"
)

func singleEntryLimiter() *Limiter {
	view := registrar.View{}.WithMember(1, registrar.Member{Name: "entry-a", Role: registrar.RoleEntry, Incarnation: 1})
	return &Limiter{Name: "entry-a", Incarnation: func() uint64 { return 1 }, View: func() registrar.View { return view }}
}

func BenchmarkAcquire(b *testing.B) {
	now := time.Now()
	l := singleEntryLimiter()
	l.membership(now.Add(-time.Hour))
	c := contractOf(registrar.Limits{RequestsPerSecond: 1e9, ConcurrentGenerations: 1e6, TokensPerSecond: 1e12, TokensInFlight: 1e12})
	d := Demand{Generation: true, PromptTokens: 100, ExpectedTokens: 100}
	b.ReportAllocs()
	for b.Loop() {
		grant, refused := l.Acquire(context.Background(), now, c, d)
		if refused != nil {
			b.Fatal(refused)
		}
		grant.Release(now)
	}
	b.ReportMetric(float64(l.Stats().Asks)/float64(b.N), "asks/op")
}

func BenchmarkSpend(b *testing.B) {
	now := time.Now()
	l := singleEntryLimiter()
	l.membership(now.Add(-time.Hour))
	c := contractOf(registrar.Limits{TokensPerSecond: 1e12, TokensInFlight: 1e12})
	grant, refused := l.Acquire(context.Background(), now, c, Demand{Generation: true})
	if refused != nil {
		b.Fatal(refused)
	}
	b.ReportAllocs()
	for b.Loop() {
		grant.Spend(now, 4)
	}
}

func BenchmarkHome(b *testing.B) {
	for _, n := range []int{3, 30, 330} {
		b.Run(fmt.Sprintf("entries=%d", n), func(b *testing.B) {
			var view registrar.View
			for i := range n {
				view = view.WithMember(uint64(i), registrar.Member{Name: fmt.Sprintf("entry-%d", i), Role: registrar.RoleEntry})
			}
			m := newMembership(view)
			for b.Loop() {
				m.home("riga-choir")
			}
		})
	}
}

// BenchmarkMemory reports the bytes of memory for each workspace in use, at its home and
// a borrower together.
func BenchmarkMemory(b *testing.B) {
	for _, workspaces := range []int{100, 1000, 4900} {
		b.Run(fmt.Sprintf("workspaces=%d", workspaces), func(b *testing.B) {
			for b.Loop() {
				f := readyFleet(2)
				before := heap()
				for i := range workspaces {
					c := contractOf(registrar.Limits{RequestsPerSecond: 1, ConcurrentGenerations: 9, TokensPerSecond: 1000})
					c.Workspace = fmt.Sprintf("workspace-%d", i)
					f.tryAcquire(f.entries[0], c, Demand{Generation: true})
				}
				b.ReportMetric(float64(heap()-before)/float64(workspaces), "B/workspace")
				runtime.KeepAlive(f)
			}
		})
	}
}

func heap() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// BenchmarkLimitError loads a workspace with 0.9 and 5 times its limits for 60 s on 1, 3
// and 10 entries. It reports what was granted relative to the limit, what was refused,
// and the messages between entries.
func BenchmarkLimitError(b *testing.B) {
	for _, load := range []float64{0.9, 5} {
		for _, n := range []int{1, 3, 10} {
			b.Run(fmt.Sprintf("load=%.1f/entries=%d", load, n), func(b *testing.B) {
				for b.Loop() {
					limitError(b, n, load)
				}
			})
		}
	}
}

func limitError(b *testing.B, n int, load float64) {
	const (
		rate   = 200.0
		span   = 60 * time.Second
		step   = 5 * time.Millisecond
		length = 500 * time.Millisecond
	)
	limits := registrar.Limits{RequestsPerSecond: rate, ConcurrentGenerations: rate * 6 / 10}
	c := contractOf(limits)
	f := readyFleet(n)
	var bytes, messages int
	for _, e := range f.entries {
		lend := e.Lend
		e.Lend = func(ctx context.Context, to registrar.Member, req *messenger.LendRequest) (*messenger.LendReply, error) {
			reply, err := lend(ctx, to, req)
			messages++
			bytes += proto.Size(req) + proto.Size(reply)
			return reply, err
		}
	}
	type running struct {
		grant *Grant
		end   time.Time
	}
	var active []running
	queues := make([][]time.Time, n)
	offered, granted, refused, most := 0.0, 0, 0, 0
	arrivals := 0.0
	start := f.now
	for steps := 0; f.now.Sub(start) < span; steps++ {
		for arrivals += load * rate * step.Seconds(); arrivals >= 1; arrivals-- {
			offered++
			i := f.r.IntN(n)
			if refusedOnArrival(f, f.entries[i], c, len(queues[i])) {
				refused++
				continue
			}
			queues[i] = append(queues[i], f.now)
		}
		for i, e := range f.entries {
			for len(queues[i]) > 0 {
				if f.now.Sub(queues[i][0]) >= defaultWaitTimeout {
					refused++
				} else if g := f.tryAcquire(e, c, Demand{Generation: true}); g != nil {
					granted++
					active = append(active, running{g, f.now.Add(length)})
				} else {
					break
				}
				queues[i] = queues[i][1:]
			}
		}
		most = max(most, len(active))
		f.advance(step)
		if steps%20 == 0 {
			f.tick()
		}
		for len(active) > 0 && !active[0].end.After(f.now) {
			active[0].grant.Release(f.now)
			active = active[1:]
		}
	}
	b.ReportMetric(100*(float64(granted)/(rate*span.Seconds())-1), "%over")
	b.ReportMetric(100*float64(refused)/offered, "%refused")
	b.ReportMetric(f.worstExcess(rate), "burst")
	b.ReportMetric(float64(most), "generations")
	b.ReportMetric(float64(messages)/span.Seconds(), "messages/s")
	b.ReportMetric(float64(bytes)/span.Seconds(), "B/s")
}

// refusedOnArrival reports whether a further request would be refused on arrival, with
// waiting requests in the queue, which the benchmark holds outside the slice.
func refusedOnArrival(f *fleet, e *testEntry, c registrar.Contract, waiting int) bool {
	s := e.lockSlice(c.Workspace)
	defer s.mu.Unlock()
	need := amountsOf(Demand{Generation: true})
	s.queuedNeed = amounts{requests: float64(waiting)}
	s.waiting = make([]*waiter, waiting)
	refused := s.refuseEarly(f.now, need, defaultWaitTimeout)
	s.queuedNeed, s.waiting = amounts{}, nil
	return refused != nil
}
