package booker

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
	"google.golang.org/protobuf/proto"
	"storj.io/drpc/drpcmux"

	"verbenareach/internal/agent/dispatcher"
	"verbenareach/internal/control/registrar"
	"verbenareach/internal/wire/acceptor"
	"verbenareach/internal/wire/dialer"
	"verbenareach/internal/wire/messenger"
	"verbenareach/internal/wire/translator"
)

const (
	propertySeed = 20261204
	callTimeout  = 300 * time.Millisecond
)

// Faults that befall a message.
const (
	faultNone = iota
	faultLost
	faultAnswerLost
	faultKinds
)

var errLost = errors.New("lost")

// world is a control host and one agent with a service, whose messages get lost.
type world struct {
	mu sync.Mutex
	// faults are used up one for each message; then there are none.
	faults []int
	state  *registrar.State
	index  uint64
	// runs counts how often each reference ran at the service.
	runs map[string]int
	// agents are the incarnations of the one agent, the last of which runs.
	agents []*testAgent
	pool   *dialer.Pool
}

// testAgent is one incarnation of the agent beside the service.
type testAgent struct {
	messenger.DRPCAgentUnimplementedServer

	world      *world
	dispatcher *dispatcher.Dispatcher
	address    string
}

func newWorld(t testing.TB, faults []int) *world {
	w := &world{state: registrar.NewState(), runs: make(map[string]int), pool: dialer.New()}
	ctx, stop := context.WithCancel(context.Background())
	var running sync.WaitGroup
	for incarnation := range uint64(2) {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		agent := &testAgent{world: w, dispatcher: &dispatcher.Dispatcher{Incarnation: incarnation + 1}, address: l.Addr().String()}
		accept := &acceptor.Acceptor{Listener: l, Register: func(mux *drpcmux.Mux) error { return messenger.DRPCRegisterAgent(mux, agent) }}
		running.Go(func() { _ = accept.Run(ctx) })
		w.agents = append(w.agents, agent)
	}
	w.apply(registrar.Command{PutContract: &registrar.PutContract{Contract: registrar.Contract{
		Workspace: "w", Keys: []registrar.APIKey{{Name: "k", SHA256: registrar.HashKey("k")}}, Share: 1, Retention: registrar.Duration(time.Hour),
	}}})
	w.faults = faults
	t.Cleanup(func() {
		_ = w.pool.Close()
		stop()
		running.Wait()
	})
	return w
}

func (w *world) fault() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.faults) == 0 {
		return faultNone
	}
	f := w.faults[0]
	w.faults = w.faults[1:]
	return f
}

func (w *world) apply(command registrar.Command) (*messenger.ClaimReply, error) {
	data, err := command.Encode()
	if err != nil {
		return nil, err
	}
	fault := w.fault()
	if fault == faultLost {
		return nil, errLost
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.index++
	encoded, _ := w.state.Apply(w.index, data)
	result, err := registrar.DecodeResult(encoded)
	if err != nil || fault == faultAnswerLost {
		return nil, errors.Join(err, errLost)
	}
	if result.Claim == nil {
		return nil, nil
	}
	return translator.ClaimResultTo(*result.Claim)
}

// current returns the incarnation that new work goes to.
func (w *world) current() *testAgent {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.agents[len(w.agents)-1]
}

// restart ends the second incarnation: its memory is gone.
func (w *world) restart() {
	w.mu.Lock()
	defer w.mu.Unlock()
	old := w.agents[len(w.agents)-1]
	old.dispatcher = &dispatcher.Dispatcher{Incarnation: old.dispatcher.Incarnation + 1}
}

func (a *testAgent) book() *dispatcher.Dispatcher {
	a.world.mu.Lock()
	defer a.world.mu.Unlock()
	return a.dispatcher
}

func (a *testAgent) Call(ctx context.Context, req *messenger.CallRequest) (*messenger.CallReply, error) {
	fault := a.world.fault()
	if fault == faultLost {
		return nil, errLost
	}
	reply, _ := a.book().Dispatch(ctx, time.Now(), req.GetClaim(), func(context.Context) *messenger.CallReply {
		a.world.mu.Lock()
		defer a.world.mu.Unlock()
		a.world.runs[string(req.GetBody())]++
		return &messenger.CallReply{Ran: messenger.Ran_RAN_YES, Status: 201, Body: req.GetBody()}
	})
	if fault == faultAnswerLost {
		return nil, errLost
	}
	return reply, nil
}

func (a *testAgent) RefuseClaim(ctx context.Context, req *messenger.RefuseClaimRequest) (*messenger.RefuseClaimReply, error) {
	fault := a.world.fault()
	if fault == faultLost {
		return nil, errLost
	}
	reply := a.book().Refuse(ctx, time.Now(), req.GetClaim())
	if fault == faultAnswerLost {
		return nil, errLost
	}
	return &messenger.RefuseClaimReply{Ran: reply.GetRan(), Reply: reply}, nil
}

// booker returns the booker of one entry.
func (w *world) booker() *Booker {
	return &Booker{
		Pool: w.pool,
		Choose: func(ctx context.Context, _ time.Time, _ string, _ []Target) (Target, error) {
			if ctx.Err() != nil {
				return Target{}, ctx.Err()
			}
			agent := w.current()
			return Target{Server: "s", Address: agent.address, Incarnation: agent.book().Incarnation}, nil
		},
		Claim: func(_ context.Context, r *messenger.ClaimRequest) (*messenger.ClaimReply, error) {
			return w.apply(registrar.Command{Claim: &registrar.MakeClaim{
				Claim: translator.ClaimFrom(r.GetClaim()), Claimant: r.GetClaimant(), AfterEpoch: r.GetAfterEpoch(),
			}})
		},
		RecordOutcome: func(_ context.Context, claim *messenger.Claim, outcome *messenger.CallReply) (*messenger.ClaimReply, error) {
			data, err := proto.Marshal(outcome)
			if err != nil {
				return nil, err
			}
			return w.apply(registrar.Command{Outcome: &registrar.EndClaim{Claim: translator.ClaimFrom(claim), Reply: data}})
		},
		RecordRefusal: func(_ context.Context, claim *messenger.Claim) (*messenger.ClaimReply, error) {
			return w.apply(registrar.Command{Refuse: &registrar.RefuseClaim{Claim: translator.ClaimFrom(claim)}})
		},
		AddressOf: func(string) (string, bool) { return w.current().address, true },
		Report:    func(time.Time, Target, bool) {},
	}
}

func (w *world) book(id, body string) (*messenger.CallReply, error) {
	return w.booker().Call(context.Background(), bookingOf(id, body))
}

func bookingOf(id, body string) Request {
	return Request{
		ID: id, Workspace: "w", Service: "rota", Method: "POST", Path: "/swaps", Body: []byte(body),
		Key: "key", KeyFromCaller: true, Deadline: time.Now().Add(callTimeout),
	}
}

func (w *world) ran(body string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.runs[body]
}

// TestBookingOverOneFault loses each message in turn, and its answer, and then
// sends the same booking again through another entry.
func TestBookingOverOneFault(t *testing.T) {
	steps := []string{"claim", "call", "outcome", "second"}
	for i, name := range steps {
		for _, fault := range []int{faultLost, faultAnswerLost} {
			t.Run(fmt.Sprintf("%s/%d", name, fault), func(t *testing.T) {
				faults := make([]int, i+1)
				faults[i] = fault
				w := newWorld(t, faults)
				_, firstErr := w.book("c1", "swap")
				checkTruth(t, firstErr, w.ran("swap"))
				reply, err := w.book("c2", "swap")
				var unknown *UnknownError
				if errors.As(err, &unknown) {
					reply, err = w.book("c3", "swap")
				}
				if err != nil || reply.GetStatus() != 201 || w.ran("swap") != 1 {
					t.Errorf("again: %v, %v; it ran %d times (first: %v)", reply, err, w.ran("swap"), firstErr)
				}
			})
		}
	}
}

func checkTruth(t *testing.T, err error, runs int) {
	t.Helper()
	var notRun *NotRunError
	if errors.As(err, &notRun) && runs > 0 {
		t.Errorf("it ran, but the caller heard: %v", err)
	}
	if err == nil && runs != 1 {
		t.Errorf("the caller got an answer, but it ran %d times", runs)
	}
}

func TestKeyWithAnotherRequestIsRefused(t *testing.T) {
	w := newWorld(t, nil)
	if _, err := w.book("c1", "swap"); err != nil {
		t.Fatal(err)
	}
	var conflict *ConflictError
	if _, err := w.book("c2", "other swap"); !errors.As(err, &conflict) || w.ran("other swap") != 0 {
		t.Errorf("got %v", err)
	}
}

// TestRestartedAgentLeavesOutcomeUnknown loses the answer and then the agent's memory.
func TestRestartedAgentLeavesOutcomeUnknown(t *testing.T) {
	w := newWorld(t, []int{faultNone, faultAnswerLost, faultLost})
	b := w.booker()
	b.AddressOf = func(string) (string, bool) { w.restart(); return w.current().address, true }
	_, err := b.Call(context.Background(), bookingOf("c1", "swap"))
	var unknown *UnknownError
	if !errors.As(err, &unknown) {
		t.Errorf("got %v", err)
	}
	if _, err := w.book("c2", "swap"); !errors.As(err, &unknown) || w.ran("swap") != 1 {
		t.Errorf("again: %v; it ran %d times", err, w.ran("swap"))
	}
}

// TestBookingsAtMostOnce sends the same booking from several entries at once
// over random losses and an agent's restart.
func TestBookingsAtMostOnce(t *testing.T) {
	params := gopter.DefaultTestParametersWithSeed(propertySeed)
	params.MinSuccessfulTests = 60
	properties := gopter.NewProperties(params)
	properties.Property("a booking runs at most once, and never after 'not run'", prop.ForAll(
		func(faults []int, restart bool) bool {
			w := newWorld(t, faults)
			var wg sync.WaitGroup
			errs := make([]error, 3)
			for i := range errs {
				wg.Go(func() { _, errs[i] = w.book(fmt.Sprintf("c%d", i), "swap") })
			}
			if restart {
				w.restart()
			}
			wg.Wait()
			for _, err := range errs {
				var notRun *NotRunError
				if errors.As(err, &notRun) && w.ran("swap") > 0 || err == nil && w.ran("swap") != 1 {
					return false
				}
			}
			return w.ran("swap") <= 1
		},
		gen.SliceOfN(12, gen.IntRange(0, faultKinds-1)), gen.Bool(),
	))
	properties.TestingRun(t)
}
