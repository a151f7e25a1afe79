package registrar

import (
	"fmt"
	"runtime"
	"testing"
)

// sampleContract is as large as the users' samples: two keys, two models, a
// service with two routes, and all limits.
func sampleContract(i int) Contract {
	workspace := fmt.Sprintf("workspace-%d", i)
	return Contract{
		Workspace: workspace,
		Keys: []APIKey{
			{Name: "clerks", SHA256: HashKey(workspace + "/clerks")}, {Name: "mechanics", SHA256: HashKey(workspace + "/mechanics")},
		},
		Models: []ModelRight{
			{Name: "fill-report", Model: "ballast-8b", Version: "7"}, {Name: "mix-check", Model: "ballast-8b", Adapter: "yes-no", Version: "7"},
		},
		Services: []ServiceRight{{Name: "bookings", Routes: []Route{
			{Method: "POST", PathPrefix: "/fills/search", Repeatable: true}, {Method: "POST", PathPrefix: "/bookings"},
		}}},
		Limits:   Limits{RequestsPerSecond: 60, ConcurrentGenerations: 80, TokensPerSecond: 5000, TokensInFlight: 400000},
		Priority: 5, Share: 4, Weights: Weights{Preemptions: 1, StallTime: 8, TailLatency: 8},
		Targets:   Targets{FirstToken: Duration(5e8), BetweenTokens: Duration(4e7), Objective: 0.97},
		Retention: Duration(72 * 3600e9),
	}
}

// newFilledApplier returns an applier whose state has contracts and members.
func newFilledApplier(contracts, members int) *applier {
	a := newApplier()
	for i := range contracts {
		a.apply(Command{PutContract: &PutContract{Contract: sampleContract(i), By: "ieva", At: 1}})
	}
	for i := range members {
		m := Member{
			Name: fmt.Sprintf("engine-%d", i), Role: RoleAgent, Address: "10.20.30.40:18300", FailureDomain: "kingston",
			Region: "jm-south", Incarnation: uint64(i + 1),
			Backend: Backend{Kind: BackendEngine, MemoryTokens: 60000, Models: []LoadedModel{{Model: "ballast-8b", Version: "7"}}},
		}
		a.apply(Command{Announce: &AnnounceMember{Member: m, Host: "c-1", At: 1}})
	}
	return a
}

func BenchmarkApplyContract(b *testing.B) {
	for _, n := range []int{100, 1000, 4900} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			a := newFilledApplier(n, 1110)
			c := sampleContract(0)
			i := uint64(0)
			for b.Loop() {
				i++
				c.Priority = int32(i % 1000)
				a.apply(Command{PutContract: &PutContract{Replaces: i, Contract: c}})
			}
			if got, _ := a.state.View().Contract(c.Workspace); got.Number != i+1 {
				b.Fatalf("number %d after %d changes", got.Number, i)
			}
		})
	}
}

func BenchmarkApplyClaim(b *testing.B) {
	a := newFilledApplier(10, 10)
	digest := make([]byte, 32)
	i := 0
	for b.Loop() {
		i++
		c := Claim{Workspace: fmt.Sprintf("workspace-%d", i%10), Key: fmt.Sprintf("k-%d", i), Digest: digest, Server: "engine-1", Incarnation: 2}
		granted := a.apply(Command{Claim: &MakeClaim{Claim: c, Claimant: "entry-1/1"}}).Claim
		a.apply(Command{Outcome: &RecordOutcome{Claim: granted.Claim, Reply: make([]byte, 400)}})
	}
	b.ReportMetric(float64(a.state.claims.bytes)/float64(i), "bytes/claim")
}

func BenchmarkAnnounce(b *testing.B) {
	for _, n := range []int{100, 1110} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			a := newFilledApplier(10, n)
			incarnation := uint64(1 << 20)
			for b.Loop() {
				incarnation++
				a.apply(Command{Announce: &AnnounceMember{Member: Member{Name: "engine-0", Role: RoleAgent, Incarnation: incarnation}, Host: "c-1"}})
			}
		})
	}
}

// BenchmarkViewMemory measures the memory of the view in an entry or agent.
func BenchmarkViewMemory(b *testing.B) {
	for _, n := range []int{100, 1000, 4900} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			data, err := newFilledApplier(n, 1110).state.Snapshot()
			if err != nil {
				b.Fatal(err)
			}
			for b.Loop() {
				before := heapInUse()
				view := restoredView(b, data)
				b.ReportMetric(float64(heapInUse()-before), "bytes")
				runtime.KeepAlive(view)
			}
		})
	}
}

// restoredView returns the view of a snapshot, without the state around it.
func restoredView(b *testing.B, data []byte) View {
	b.Helper()
	s, err := Restore(data)
	if err != nil {
		b.Fatal(err)
	}
	return s.View()
}

func heapInUse() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

func BenchmarkSnapshot(b *testing.B) {
	for _, n := range []int{100, 1000, 4900} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			a := newFilledApplier(n, 1110)
			size := 0
			for b.Loop() {
				data, err := a.state.Snapshot()
				if err != nil {
					b.Fatal(err)
				}
				size = len(data)
			}
			b.ReportMetric(float64(size), "bytes")
		})
	}
}

func BenchmarkRestore(b *testing.B) {
	for _, n := range []int{100, 1000, 4900} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			data, err := newFilledApplier(n, 1110).state.Snapshot()
			if err != nil {
				b.Fatal(err)
			}
			b.ResetTimer()
			for b.Loop() {
				if _, err := Restore(data); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
