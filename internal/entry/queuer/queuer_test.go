package queuer

import (
	"context"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
	"go.uber.org/goleak"
)

var testNow = time.Unix(1_000_000_000, 0)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

// fakeServer is a backend server with free room.
type fakeServer struct {
	free   float64
	placed []string
	// verdict is the verdict for a request that does not fit; the zero value means NoRoom.
	verdict Verdict
}

func (r *fakeServer) request(workspace string, share uint32, cost float64) Request {
	return Request{
		Class: "model", Workspace: workspace, Share: share, Cost: cost, Deadline: testNow.Add(time.Minute),
		Place: func(time.Time) Verdict {
			if r.free < cost {
				return max(r.verdict, NoRoom)
			}
			r.free -= cost
			r.placed = append(r.placed, workspace)
			return Placed
		},
	}
}

// submit submits a request and returns the channel of its outcome.
func submit(t *testing.T, q *Queue, now time.Time, r Request) <-chan *RefusedError {
	t.Helper()
	w, refused := q.submit(now, r)
	if w != nil {
		return w.done
	}
	done := make(chan *RefusedError, 1)
	done <- refused
	return done
}

func outcome(done <-chan *RefusedError) (refused *RefusedError, decided bool) {
	select {
	case refused := <-done:
		return refused, true
	default:
		return nil, false
	}
}

// TestFairShares keeps workspaces of different weights waiting, and compares their placed
// cost after each placement.
func TestFairShares(t *testing.T) {
	p := gopter.DefaultTestParametersWithSeed(20261204)
	p.MinSuccessfulTests = 50
	properties := gopter.NewProperties(p)
	properties.Property("while workspaces wait, their placed cost by weight differs by at most one request of each", prop.ForAll(
		func(seed uint64) string {
			r := rand.New(rand.NewPCG(seed, 2))
			q := &Queue{MaxOvertaken: 1 << 30}
			server := &fakeServer{}
			names := []string{"large", "small", "smaller"}
			shares := []uint32{1 + r.Uint32N(9), 1 + r.Uint32N(9), 1}
			got, most := make([]float64, 3), make([]float64, 3)
			sizes := make([][]float64, 3)
			add := func(i int, n int) {
				for range n {
					size := 1 + math.Floor(100*r.Float64())
					most[i] = max(most[i], size)
					sizes[i] = append(sizes[i], size)
					submit(t, q, testNow, server.request(names[i], shares[i], size))
				}
			}
			// The large workspace fills the queue before the others.
			add(0, 500)
			add(1, 30)
			add(2, 30)
			for range 40 {
				before := len(server.placed)
				server.free = 1e9
				q.mu.Lock()
				q.classes["model"].placeNext(testNow, 1, 1<<30)
				q.mu.Unlock()
				server.free = 0
				for i, name := range names {
					if server.placed[before] == name {
						got[i] += sizes[i][0]
						sizes[i] = sizes[i][1:]
					}
				}
				for i := range names {
					for j := range names {
						if len(sizes[i]) == 0 || len(sizes[j]) == 0 {
							continue
						}
						ahead := got[i]/float64(shares[i]) - got[j]/float64(shares[j])
						if bound := most[i]/float64(shares[i]) + most[j]/float64(shares[j]); ahead > bound {
							return fmt.Sprintf("%s is %.1f ahead of %s, bound %.1f", names[i], ahead, names[j], bound)
						}
					}
				}
			}
			return ""
		},
		gen.UInt64(),
	))
	properties.TestingRun(t)
}

func TestSmallWorkspaceIsNotStarved(t *testing.T) {
	q := &Queue{}
	server := &fakeServer{}
	for range 1000 {
		submit(t, q, testNow, server.request("large", 1, 10))
	}
	small := submit(t, q, testNow, server.request("small", 1, 10))
	server.free = 20
	q.PlaceClass(testNow, "model")
	if refused, decided := outcome(small); !decided || refused != nil {
		t.Errorf("the small workspace was not placed beside the large one: %v", server.placed)
	}
}

func TestOvertaking(t *testing.T) {
	q := &Queue{MaxOvertaken: 3, Lookahead: 4}
	server := &fakeServer{}
	large := submit(t, q, testNow, server.request("choir", 1, 100))
	var small []<-chan *RefusedError
	for range 10 {
		small = append(small, submit(t, q, testNow, server.request("grower", 1, 1)))
	}
	for range 10 {
		server.free = 1
		q.PlaceClass(testNow, "model")
	}
	if n := len(server.placed); n != 3 {
		t.Errorf("%d small requests overtook the large one, want 3", n)
	}
	server.free = 100
	q.PlaceClass(testNow, "model")
	if _, decided := outcome(large); !decided {
		t.Error("the large request was not placed though it fits")
	}
	server.free = 100
	q.PlaceClass(testNow, "model")
	for i, done := range small {
		if refused, decided := outcome(done); !decided || refused != nil {
			t.Errorf("small request %d: decided %v, refused %v", i, decided, refused)
		}
	}
	if q.Waiting() != 0 {
		t.Errorf("%d still counted as waiting", q.Waiting())
	}
}

func TestRequestsWithoutServerBlockNoOthers(t *testing.T) {
	q := &Queue{MaxOvertaken: 1}
	down, up := &fakeServer{verdict: NoServer}, &fakeServer{}
	for range 10 {
		submit(t, q, testNow, down.request("choir", 1, 1))
	}
	for range 5 {
		up.free = 1
		if refused, decided := outcome(submit(t, q, testNow, up.request("grower", 1, 1))); !decided || refused != nil {
			t.Fatal("a request that fits waits behind those without a backend server")
		}
	}
}

func TestRefusals(t *testing.T) {
	late := testNow.Add(2 * time.Minute)
	tests := []struct {
		name  string
		queue *Queue
		run   func(q *Queue, server *fakeServer) <-chan *RefusedError
		want  Cause
	}{
		{"deadline passed before", &Queue{}, func(q *Queue, server *fakeServer) <-chan *RefusedError {
			return submit(t, q, late, server.request("w", 1, 1))
		}, CauseDeadline},
		{"deadline passed while waiting", &Queue{}, func(q *Queue, server *fakeServer) <-chan *RefusedError {
			done := submit(t, q, testNow, server.request("w", 1, 1))
			q.Sweep(late)
			return done
		}, CauseDeadline},
		{"no server until the deadline", &Queue{}, func(q *Queue, server *fakeServer) <-chan *RefusedError {
			server.verdict = NoServer
			done := submit(t, q, testNow, server.request("w", 1, 1))
			q.Sweep(late)
			return done
		}, CauseNoServer},
		{"queue full of requests of the same workspace", &Queue{Capacity: 3}, func(q *Queue, server *fakeServer) <-chan *RefusedError {
			submit(t, q, testNow, server.request("other", 1, 1))
			submit(t, q, testNow, server.request("w", 1, 1))
			submit(t, q, testNow, server.request("w", 1, 1))
			return submit(t, q, testNow, server.request("w", 1, 1))
		}, CauseFull},
		{"queue full and a request of another workspace", &Queue{Capacity: 3}, func(q *Queue, server *fakeServer) <-chan *RefusedError {
			submit(t, q, testNow, server.request("w", 1, 1))
			submit(t, q, testNow, server.request("w", 1, 1))
			last := submit(t, q, testNow, server.request("w", 1, 1))
			if refused, decided := outcome(submit(t, q, testNow, server.request("other", 1, 1))); decided {
				t.Errorf("the other workspace was refused: %v", refused)
			}
			return last
		}, CauseFull},
		{"queue takes longer than the deadline", &Queue{}, func(q *Queue, server *fakeServer) <-chan *RefusedError {
			for range 100 {
				submit(t, q, testNow, server.request("w", 1, 1))
			}
			for i := range 20 {
				server.free = 1
				q.PlaceClass(testNow.Add(time.Duration(i)*100*time.Millisecond), "model")
			}
			// 10 are placed a second and 80 wait.
			r := server.request("w", 1, 1)
			r.Deadline = testNow.Add(4 * time.Second)
			return submit(t, q, testNow.Add(2*time.Second), r)
		}, CauseWaitTooLong},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			refused, decided := outcome(tt.run(tt.queue, &fakeServer{}))
			if !decided || refused == nil || refused.Cause != tt.want {
				t.Fatalf("got %v, want %s", refused, tt.want)
			}
			if refused.RetryAfter < minRetryAfter || refused.RetryAfter > maxRetryAfter {
				t.Errorf("retry after %s", refused.RetryAfter)
			}
			if tt.want == CauseWaitTooLong && (refused.RetryAfter < 7*time.Second || refused.RetryAfter > 9*time.Second) {
				t.Errorf("retry after %s, want about the 8 s that the queue takes", refused.RetryAfter)
			}
		})
	}
}

// TestWait has goroutines that wait, give up and are placed concurrently.
func TestWait(t *testing.T) {
	q := &Queue{Tick: time.Millisecond}
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { _ = q.Run(ctx) })
	var mu sync.Mutex
	free := 5
	var callers sync.WaitGroup
	for i := range 200 {
		callers.Go(func() {
			callCtx, giveUp := context.WithCancel(ctx)
			defer giveUp()
			if i%10 == 0 {
				giveUp()
			}
			err := q.Wait(callCtx, time.Now(), Request{
				Class: "model", Workspace: fmt.Sprint(i % 7), Share: 1, Cost: 1, Deadline: time.Now().Add(30 * time.Second),
				Place: func(time.Time) Verdict {
					mu.Lock()
					defer mu.Unlock()
					if free == 0 {
						return NoRoom
					}
					free--
					return Placed
				},
			})
			if errors.Is(err, context.Canceled) && i%10 == 0 {
				return
			}
			if err != nil {
				t.Errorf("request %d: %v", i, err)
				return
			}
			mu.Lock()
			free++
			mu.Unlock()
			q.PlaceClass(time.Now(), "model")
		})
	}
	callers.Wait()
	cancel()
	running.Wait()
	if free != 5 || q.Waiting() != 0 {
		t.Errorf("%d free, %d waiting at the end", free, q.Waiting())
	}
	q.Sweep(time.Now().Add(time.Hour))
	if len(q.classes) != 0 {
		t.Errorf("%d classes are kept", len(q.classes))
	}
}

func BenchmarkWait(b *testing.B) {
	for _, waiting := range []int{0, 100, 4000} {
		b.Run(fmt.Sprintf("waiting=%d", waiting), func(b *testing.B) {
			q := &Queue{Capacity: 1 << 20}
			full := &fakeServer{}
			for i := range waiting {
				r := full.request(fmt.Sprintf("w%d", i%40), 1, 10)
				q.submit(testNow, r)
			}
			full.free = 1e18
			b.ReportAllocs()
			for b.Loop() {
				full.free = 10
				q.submit(testNow, full.request("w0", 1, 10))
				full.placed = full.placed[:0]
			}
		})
	}
}

// TestRunPlacesWaitingRequests frees room without calling PlaceClass: the passes of Run
// must place the request, also after idle times.
func TestRunPlacesWaitingRequests(t *testing.T) {
	q := &Queue{Tick: time.Millisecond}
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- q.Run(ctx) }()
	for range 50 {
		tries := 0
		err := q.Wait(ctx, time.Now(), Request{
			Class: "m", Workspace: "w", Share: 1, Cost: 1, Deadline: time.Now().Add(time.Minute),
			Place: func(time.Time) Verdict {
				if tries++; tries < 3 {
					return NoRoom
				}
				return Placed
			},
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	stop()
	if err := <-done; err != nil {
		t.Error(err)
	}
}

// TestNoRefusalBeforeRateIsKnown has a queue in which few or no requests were placed for
// some seconds, as generations are long: that is no basis for an estimated wait.
func TestNoRefusalBeforeRateIsKnown(t *testing.T) {
	for _, placed := range []int{0, 1, 3} {
		t.Run(fmt.Sprintf("placed=%d", placed), func(t *testing.T) {
			q := &Queue{}
			full := &fakeServer{}
			for range placed + 1 {
				submit(t, q, testNow, full.request("w", 1, 500))
			}
			now := testNow
			for i := range 8 {
				now = now.Add(500 * time.Millisecond)
				if i < placed {
					full.free = 500
				}
				q.Sweep(now)
				select {
				case refused := <-submit(t, q, now, full.request("w", 1, 500)):
					t.Fatalf("refused after %v: %v", now.Sub(testNow), refused)
				default:
				}
			}
		})
	}
}
