package reporter

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/testing/protocmp"

	"verbenareach/internal/control/registrar"
	"verbenareach/internal/wire/messenger"
)

var (
	start   = time.Date(2026, 12, 4, 6, 0, 0, 0, time.UTC)
	targets = registrar.Targets{
		FirstToken:    registrar.Duration(550 * time.Millisecond),
		BetweenTokens: registrar.Duration(46 * time.Millisecond),
		Objective:     0.95,
	}
	rota = Key{Workspace: "daugava-union", Model: "rota-writer"}
)

// sums returns the sums of a series over each window.
func sums(t *testing.T, r *Reporter, now time.Time, key Key) []*messenger.BurnSlot {
	t.Helper()
	reply := r.Snapshot(now, &messenger.BurnRequest{Workspace: key.Workspace, Model: key.Model})
	if len(reply.GetSeries()) != 1 {
		t.Fatalf("%d series of %v", len(reply.GetSeries()), key)
	}
	var all []*messenger.BurnSlot
	for _, w := range reply.GetSeries()[0].GetWindows() {
		all = append(all, w.GetSum())
	}
	return all
}

func TestStreamCounts(t *testing.T) {
	r := &Reporter{}
	s := r.Open(start, rota, targets)
	now := start.Add(600 * time.Millisecond) // late
	s.Tokens(now, 1)
	s.Tokens(now.Add(40*time.Millisecond), 1)  // in time
	s.Tokens(now.Add(100*time.Millisecond), 3) // 60 ms: late, and two with no gap
	s.Preempted(now)
	s.Tokens(now.Add(time.Second), 1) // 900 ms: late and a stall
	s.End(now.Add(time.Second), true)
	r.Open(start, rota, targets).End(now, false)
	r.Refused(now, rota, RefusedLimit)
	r.Refused(now, rota, RefusedRoom)
	want := &messenger.BurnSlot{
		Requests: 2, FirstTokens: 1, FirstTokensLate: 1, Gaps: 5, GapsLate: 2, Stalls: 1, StallNanos: uint64(900 * time.Millisecond),
		Preemptions: 1, Incomplete: 1, RefusedLimit: 1, RefusedRoom: 1,
	}
	for i, got := range sums(t, r, now.Add(2*time.Second), rota) {
		diff := cmp.Diff(want, got, protocmp.Transform(), protocmp.IgnoreFields(&messenger.BurnSlot{},
			"first_token_values", "first_token_counts", "gap_values", "gap_counts"))
		if diff != "" {
			t.Errorf("window %d: %s", i, diff)
		}
		if n := Gaps(got).TotalCount(); n != 5 {
			t.Errorf("window %d: %d gaps in the histogram", i, n)
		}
		if p := time.Duration(FirstTokens(got).ValueAtPercentile(50)) * Unit; p < 600*time.Millisecond || p > 640*time.Millisecond {
			t.Errorf("window %d: first token %v, want 600 ms within a sixteenth", i, p)
		}
	}
}

func TestWindowsDropOldSlots(t *testing.T) {
	r := &Reporter{}
	r.Refused(start, rota, RefusedRoom)
	tests := []struct {
		after time.Duration
		want  []uint64
	}{
		{0, []uint64{1, 1, 1, 1}},
		{4 * time.Minute, []uint64{1, 1, 1, 1}},
		{7 * time.Minute, []uint64{0, 1, 1, 1}},
		{59 * time.Minute, []uint64{0, 1, 1, 1}},
		{75 * time.Minute, []uint64{0, 0, 1, 1}},
		{6 * time.Hour, []uint64{0, 0, 1, 1}},
		{8 * time.Hour, []uint64{0, 0, 0, 1}},
		{72 * time.Hour, []uint64{0, 0, 0, 1}},
		{97 * time.Hour, []uint64{0, 0, 0, 0}},
	}
	for _, tt := range tests {
		for i, sum := range sums(t, r, start.Add(tt.after), rota) {
			if sum.GetRefusedRoom() != tt.want[i] {
				t.Errorf("after %v, window %d holds %d, want %d", tt.after, i, sum.GetRefusedRoom(), tt.want[i])
			}
		}
	}
	r.Sweep(start.Add(97 * time.Hour))
	if n := len(r.matching(&messenger.BurnRequest{})); n != 0 {
		t.Errorf("%d idle series are kept", n)
	}
}

// TestSweepKeepsOpenStream sweeps between a request's arrival and its first
// token: the token must still count.
func TestSweepKeepsOpenStream(t *testing.T) {
	r := &Reporter{}
	s := r.Open(start, rota, targets)
	r.Sweep(start.Add(time.Minute))
	s.Tokens(start.Add(2*time.Minute), 1)
	if got := sums(t, r, start.Add(2*time.Minute), rota)[0].GetFirstTokens(); got != 1 {
		t.Errorf("%d first tokens", got)
	}
}

func TestSeriesAreBounded(t *testing.T) {
	r := &Reporter{MaxSeries: 2}
	for i := range 5 {
		r.Refused(start, Key{Workspace: fmt.Sprint(i), Model: "m"}, RefusedRoom)
	}
	if got := sums(t, r, start, Overflow)[0].GetRefusedRoom(); got != 3 {
		t.Errorf("%d requests counted under Overflow, want 3", got)
	}
	reply := r.Snapshot(start, &messenger.BurnRequest{Worst: 1})
	if len(reply.GetSeries()) != 1 || reply.GetSeries()[0].GetKey().GetWorkspace() != Overflow.Workspace || reply.GetMatched() != 3 {
		t.Errorf("worst of %d: %v", reply.GetMatched(), reply.GetSeries())
	}
}

func TestNilReporter(t *testing.T) {
	var r *Reporter
	s := r.Open(start, rota, targets)
	s.Tokens(start, 1)
	s.Preempted(start)
	s.End(start, true)
	r.Resume(start, rota, targets).End(start, true)
	r.Called(start, rota, targets, 0, true)
	r.Refused(start, rota, RefusedRoom)
	r.Sweep(start)
	if n := len(r.Snapshot(start, nil).GetSeries()); n != 0 {
		t.Errorf("%d series", n)
	}
}

// TestMergeProperties compares the merged sparse histograms of several entries
// and minutes with a single histogram of the library that has all values.
func TestMergeProperties(t *testing.T) {
	properties := gopter.NewProperties(gopter.DefaultTestParametersWithSeed(7))
	properties.Property("merged histograms equal a single one", prop.ForAll(func(millis []int64) bool {
		combined := NewHistogram()
		reporters := []*Reporter{{}, {}, {}}
		now := start
		for i, ms := range millis {
			s := reporters[i%len(reporters)].Open(now, rota, targets)
			took := time.Duration(ms) * time.Millisecond
			s.Tokens(now.Add(took), 1)
			record(combined.RecordValues, int64(took/Unit), 1)
			now = now.Add(time.Duration(i%90) * time.Second)
		}
		sum := &messenger.BurnSlot{}
		longest := len(windows) - 1
		for _, r := range reporters {
			for _, s := range r.Snapshot(now, nil).GetSeries() {
				AddSlot(sum, s.GetWindows()[longest].GetSum())
			}
		}
		return FirstTokens(sum).Equals(combined) && sum.GetFirstTokens() == uint64(len(millis))
	}, gen.SliceOfN(60, gen.Int64Range(0, 700_000))))
	properties.TestingRun(t)
}

func BenchmarkStreamTokens(b *testing.B) {
	r := &Reporter{}
	s := r.Open(start, rota, targets)
	now := start
	rng := rand.New(rand.NewPCG(1, 2))
	gaps := make([]time.Duration, 1024)
	for i := range gaps {
		gaps[i] = time.Duration(20+rng.ExpFloat64()*10) * time.Millisecond
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		now = now.Add(gaps[i%len(gaps)])
		s.Tokens(now, 1)
	}
}

func BenchmarkSnapshotOne(b *testing.B) {
	r := &Reporter{}
	fill(r, 1, 60, rand.New(rand.NewPCG(1, 2)))
	b.ReportAllocs()
	for b.Loop() {
		r.Snapshot(start.Add(time.Hour), nil)
	}
}

// BenchmarkSeriesBytes fills series with three days of sparse traffic and reports
// the heap use and the reply size of one series.
func BenchmarkSeriesBytes(b *testing.B) {
	for _, n := range []int{1000, 10000, 49000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for b.Loop() {
				before := heap()
				r := &Reporter{}
				fill(r, n, 24, rand.New(rand.NewPCG(3, 4)))
				r.Sweep(start.Add(73 * time.Hour))
				b.ReportMetric(float64(heap()-before)/float64(n), "B/series")
				reply := r.Snapshot(start.Add(73*time.Hour), &messenger.BurnRequest{Worst: 50})
				b.ReportMetric(float64(proto.Size(reply))/50, "wireB/series")
				runtime.KeepAlive(r)
			}
		})
	}
}

func BenchmarkOpenSlotBytes(b *testing.B) {
	var keep []*slot
	b.ReportAllocs()
	for b.Loop() {
		s := newSlot()
		for i := range 30 {
			s.recordGap(targets, time.Duration(20+i*3)*time.Millisecond)
		}
		keep = append(keep[:0], s)
	}
	runtime.KeepAlive(keep)
}

// fill gives each of n series requests spread evenly over three days, of 40 tokens each.
func fill(r *Reporter, n, requests int, rng *rand.Rand) {
	step := 72 * time.Hour / time.Duration(requests)
	for i := range requests {
		for j := range n {
			now := start.Add(time.Duration(i) * step).Add(time.Duration(j) * time.Millisecond)
			s := r.Open(now, Key{Workspace: fmt.Sprint(j / 10), Model: fmt.Sprint(j % 10)}, targets)
			now = now.Add(time.Duration(100+rng.ExpFloat64()*150) * time.Millisecond)
			for range 40 {
				s.Tokens(now, 1)
				now = now.Add(time.Duration(15+rng.ExpFloat64()*15) * time.Millisecond)
			}
			s.End(now, true)
		}
		r.Sweep(start.Add(time.Duration(i)*step + 5*time.Minute))
	}
}

func heap() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
