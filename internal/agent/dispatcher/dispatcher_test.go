package dispatcher

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"verbenareach/internal/wire/messenger"
)

const propertySeed = 20261204

var start = time.Unix(1000, 0)

func claimOf(key string, index uint64) *messenger.Claim {
	return &messenger.Claim{Workspace: "w", Key: key, Incarnation: 3, Epoch: 1, Index: index}
}

func ranYes(context.Context) *messenger.CallReply {
	return &messenger.CallReply{Ran: messenger.Ran_RAN_YES, Status: 201}
}

func TestRefusedClaimNeverRuns(t *testing.T) {
	d := &Dispatcher{Incarnation: 3}
	if reply := d.Refuse(context.Background(), start, claimOf("k", 1)); reply.GetRan() != messenger.Ran_RAN_NO {
		t.Fatalf("refused: %v", reply)
	}
	reply, first := d.Dispatch(context.Background(), start, claimOf("k", 1), func(context.Context) *messenger.CallReply {
		t.Error("a refused claim ran")
		return nil
	})
	if first || reply.GetRan() != messenger.Ran_RAN_NO {
		t.Errorf("got %v, first %v", reply, first)
	}
}

// The outcome of a claim whose caller left during the run is committed by the agent, so it must
// be that of the run.
func TestClaimThatRanIsNeverToldAsUnknown(t *testing.T) {
	d := &Dispatcher{Incarnation: 3}
	for i := range 200 {
		ctx, cancel := context.WithCancel(t.Context())
		claim := claimOf(fmt.Sprint(i), uint64(i+1))
		leave := func(ctx context.Context) *messenger.CallReply {
			cancel()
			return ranYes(ctx)
		}
		if reply, _ := d.Dispatch(ctx, start, claim, leave); reply.GetRan() != messenger.Ran_RAN_YES {
			t.Fatalf("claim %d ran and is told as %v", i, reply)
		}
		if reply := d.Refuse(ctx, start, claim); reply.GetRan() != messenger.Ran_RAN_YES {
			t.Fatalf("claim %d ran and is refused as %v", i, reply)
		}
	}
}

func TestRetentionCountsFromTheEndOfTheRun(t *testing.T) {
	d := &Dispatcher{Incarnation: 3, Retention: 16 * time.Second}
	d.Refuse(t.Context(), start, claimOf("early", 1))
	ended := start.Add(900 * time.Millisecond)
	d.Refuse(t.Context(), ended, claimOf("k", 2))
	late := ended.Add(d.Retention)
	if reply := d.Refuse(t.Context(), late, claimOf("k", 2)); reply.GetRan() != messenger.Ran_RAN_NO {
		t.Errorf("claim is dropped %s after its end: %v", late.Sub(ended), reply)
	}
}

func TestRefuseWaitsForRunningClaim(t *testing.T) {
	d := &Dispatcher{Incarnation: 3}
	running, release := make(chan struct{}), make(chan struct{})
	go d.Dispatch(context.Background(), start, claimOf("k", 1), func(ctx context.Context) *messenger.CallReply {
		close(running)
		<-release
		return ranYes(ctx)
	})
	<-running
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if reply := d.Refuse(ctx, start, claimOf("k", 1)); reply.GetRan() != messenger.Ran_RAN_UNKNOWN {
		t.Errorf("while it runs: %v", reply)
	}
	close(release)
	if reply := d.Refuse(context.Background(), start, claimOf("k", 1)); reply.GetRan() != messenger.Ran_RAN_YES {
		t.Errorf("after it ran: %v", reply)
	}
}

func TestAnotherIncarnation(t *testing.T) {
	d := &Dispatcher{Incarnation: 4}
	reply, _ := d.Dispatch(context.Background(), start, claimOf("k", 1), func(context.Context) *messenger.CallReply {
		t.Error("a claim for an earlier incarnation ran")
		return nil
	})
	if reply.GetRan() != messenger.Ran_RAN_NO {
		t.Errorf("dispatch: %v", reply)
	}
	if reply := d.Refuse(context.Background(), start, claimOf("k", 1)); reply.GetRan() != messenger.Ran_RAN_UNKNOWN {
		t.Errorf("earlier incarnation's claim reported as not run: %v", reply)
	}
}

func TestDroppedClaimNeverRunsAgain(t *testing.T) {
	d := &Dispatcher{Incarnation: 3, Retention: time.Minute}
	d.Dispatch(context.Background(), start, claimOf("k", 5), ranYes)
	later := start.Add(time.Hour)
	d.Dispatch(context.Background(), later, claimOf("other", 9), ranYes)
	reply, first := d.Dispatch(context.Background(), later, claimOf("k", 5), ranYes)
	if first || reply.GetRan() != messenger.Ran_RAN_UNKNOWN {
		t.Errorf("got %v, first %v", reply, first)
	}
	if len(d.claims) != 1 {
		t.Errorf("%d claims are held", len(d.claims))
	}
}

// TestClaimsRunAtMostOnce dispatches and refuses a few claims concurrently in
// random order, and checks that none runs twice or after a refusal.
func TestClaimsRunAtMostOnce(t *testing.T) {
	params := gopter.DefaultTestParametersWithSeed(propertySeed)
	properties := gopter.NewProperties(params)
	properties.Property("a claim runs at most once, and never once refused", prop.ForAll(
		func(steps []int) bool {
			d := &Dispatcher{Incarnation: 3, Retention: time.Minute}
			var mu sync.Mutex
			runs, refused := make(map[string]int), make(map[string]bool)
			var wg sync.WaitGroup
			for i, step := range steps {
				key := fmt.Sprint(step % 4)
				now := start.Add(time.Duration(i) * 20 * time.Second)
				wg.Go(func() {
					claim := claimOf(key, uint64(step%4)+1)
					if step/4%2 == 0 {
						d.Dispatch(context.Background(), now, claim, func(ctx context.Context) *messenger.CallReply {
							mu.Lock()
							defer mu.Unlock()
							runs[key]++
							return ranYes(ctx)
						})
						return
					}
					if d.Refuse(context.Background(), now, claim).GetRan() == messenger.Ran_RAN_NO {
						mu.Lock()
						defer mu.Unlock()
						refused[key] = true
					}
				})
			}
			wg.Wait()
			for key, n := range runs {
				if n > 1 || refused[key] {
					return false
				}
			}
			return true
		},
		gen.SliceOf(gen.IntRange(0, 7)),
	))
	properties.TestingRun(t)
}
