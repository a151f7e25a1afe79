package replicator

import (
	"context"
	"fmt"
	"net"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"verbenareach/internal/wire/messenger"
)

// benchCluster runs control hosts over drpc on loopback and returns the leader.
func benchCluster(b *testing.B, size int) *Replicator {
	b.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	var listeners []net.Listener
	var peers []Peer
	for i := range size {
		lis, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			b.Fatal(err)
		}
		listeners = append(listeners, lis)
		peers = append(peers, Peer{Name: fmt.Sprint("control-", i), Address: lis.Addr().String()})
	}
	folder := b.TempDir()
	var hosts []*Replicator
	for i, p := range peers {
		transport := &Transport{}
		r := &Replicator{
			Name: p.Name, Address: p.Address, Peers: peers, Folder: filepath.Join(folder, p.Name),
			Send: transport.Send, Ask: transport.Ask,
			Apply:    func(uint64, []byte) []byte { return nil },
			Snapshot: func() ([]byte, error) { return nil, nil },
			Restore:  func(uint64, []byte) error { return nil },
		}
		hosts = append(hosts, r)
		mux := drpcmux.New()
		if err := messenger.DRPCRegisterPeers(mux, &Service{Replicator: r, Transport: transport}); err != nil {
			b.Fatal(err)
		}
		wg.Go(func() { _ = drpcserver.NewWithOptions(mux, ServerOptions()).Serve(ctx, Listener(listeners[i])) })
		wg.Go(func() {
			if err := r.Run(ctx); err != nil {
				b.Error(err)
			}
			_ = transport.Close()
		})
	}
	b.Cleanup(func() {
		cancel()
		wg.Wait()
	})
	for {
		for _, r := range hosts {
			if r.Status().Role == "leader" {
				if _, err := r.ConfirmRead(ctx); err == nil {
					return r
				}
			}
		}
		time.Sleep(time.Millisecond)
	}
}

// cpuTime returns the user and system CPU time that this process has used so far.
func cpuTime(b *testing.B) time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		b.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkPropose commits commands of 512 bytes from concurrent callers. The CPU time is
// that of all hosts together, which run in this process.
func BenchmarkPropose(b *testing.B) {
	command := make([]byte, 512)
	for _, size := range []int{1, 3, 5} {
		for _, callers := range []int{1, 16, 256} {
			b.Run(fmt.Sprintf("hosts=%d/callers=%d", size, callers), func(b *testing.B) {
				lead := benchCluster(b, size)
				b.ResetTimer()
				before := cpuTime(b)
				var wg sync.WaitGroup
				for caller := range callers {
					wg.Go(func() {
						for i := caller; i < b.N; i += callers {
							if _, _, err := lead.Propose(context.Background(), command); err != nil {
								b.Error(err)
								return
							}
						}
					})
				}
				wg.Wait()
				b.StopTimer()
				used := cpuTime(b) - before
				b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "commits/s")
				b.ReportMetric(float64(used.Nanoseconds())/float64(b.N)/1000, "cpu-µs/commit")
			})
		}
	}
}

// BenchmarkConfirmRead confirms reads by a quorum, from concurrent callers.
func BenchmarkConfirmRead(b *testing.B) {
	for _, callers := range []int{1, 256} {
		b.Run(fmt.Sprintf("hosts=3/callers=%d", callers), func(b *testing.B) {
			lead := benchCluster(b, 3)
			b.ResetTimer()
			var wg sync.WaitGroup
			for caller := range callers {
				wg.Go(func() {
					for i := caller; i < b.N; i += callers {
						if _, err := lead.ConfirmRead(context.Background()); err != nil {
							b.Error(err)
							return
						}
					}
				})
			}
			wg.Wait()
		})
	}
}

// BenchmarkIdle measures the CPU time of three idle hosts, in microseconds per second and
// host.
func BenchmarkIdle(b *testing.B) {
	benchCluster(b, 3)
	b.ResetTimer()
	before := cpuTime(b)
	for b.Loop() {
		time.Sleep(time.Second)
	}
	used := cpuTime(b) - before
	b.ReportMetric(float64(used.Microseconds())/b.Elapsed().Seconds()/3, "cpu-µs/s/host")
}

// BenchmarkCatchUp measures how long a single host replays its log, from start until all
// entries are applied. SnapshotEntries is so high that the number of entries causes no
// snapshot.
func BenchmarkCatchUp(b *testing.B) {
	for _, entries := range []int{1_000, 10_000, 100_000} {
		b.Run(fmt.Sprintf("entries=%d", entries), func(b *testing.B) {
			folder := b.TempDir()
			start := func() (*Replicator, context.CancelFunc, chan error) {
				ctx, cancel := context.WithCancel(context.Background())
				r := &Replicator{
					Name: "a", Address: "a", Peers: []Peer{{Name: "a", Address: "a"}}, Folder: folder, SnapshotEntries: 1 << 40,
					Apply: func(uint64, []byte) []byte { return nil },
				}
				done := make(chan error, 1)
				go func() { done <- r.Run(ctx) }()
				for r.Status().Role != "leader" {
					time.Sleep(time.Millisecond)
				}
				return r, cancel, done
			}
			r, cancel, done := start()
			var wg sync.WaitGroup
			for range 500 {
				wg.Go(func() {
					for range entries / 500 {
						if _, _, err := r.Propose(context.Background(), make([]byte, 512)); err != nil {
							b.Error(err)
						}
					}
				})
			}
			wg.Wait()
			cancel()
			<-done
			for b.Loop() {
				r := &Replicator{
					Name: "a", Address: "a", Peers: []Peer{{Name: "a", Address: "a"}}, Folder: folder, SnapshotEntries: 1 << 40,
					Apply: func(uint64, []byte) []byte { return nil },
				}
				ctx, cancel := context.WithCancel(context.Background())
				done := make(chan error, 1)
				go func() { done <- r.Run(ctx) }()
				for r.Status().Applied < uint64(entries) {
					time.Sleep(time.Millisecond)
				}
				b.StopTimer()
				cancel()
				<-done
				b.StartTimer()
			}
		})
	}
}
