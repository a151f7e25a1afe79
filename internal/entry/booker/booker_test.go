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

// Faults of a message; faultCount is their number.
const (
	faultNone = iota
	faultLost
	faultReplyLost
	faultCount
)

var errLost = errors.New("lost")

// cluster is a control host and one agent with a service. Messages to them may be lost.
type cluster struct {
	mu sync.Mutex
	// faults are the faults of the next messages, in order.
	faults []int
	state  *registrar.State
	index  uint64
	// runs counts the runs at the service by request body.
	runs map[string]int
	// agents are two agents of the service, at their own addresses. All calls go to the
	// last one; nothing is sent to the first.
	agents []*testAgent
	pool   *dialer.Pool
}

// testAgent is the agent at one address. Its dispatcher holds the incarnation.
type testAgent struct {
	messenger.DRPCAgentUnimplementedServer

	cluster    *cluster
	dispatcher *dispatcher.Dispatcher
	address    string
}

func newCluster(t testing.TB, faults []int) *cluster {
	c := &cluster{state: registrar.NewState(), runs: make(map[string]int), pool: dialer.New()}
	ctx, stop := context.WithCancel(context.Background())
	var running sync.WaitGroup
	for incarnation := range uint64(2) {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		agent := &testAgent{cluster: c, dispatcher: &dispatcher.Dispatcher{Incarnation: incarnation + 1}, address: l.Addr().String()}
		accept := &acceptor.Acceptor{Listener: l, Register: func(mux *drpcmux.Mux) error { return messenger.DRPCRegisterAgent(mux, agent) }}
		running.Go(func() { _ = accept.Run(ctx) })
		c.agents = append(c.agents, agent)
	}
	c.apply(registrar.Command{PutContract: &registrar.PutContract{Contract: registrar.Contract{
		Workspace: "w", Keys: []registrar.APIKey{{Name: "k", SHA256: registrar.HashKey("k")}}, Share: 1, Retention: registrar.Duration(time.Hour),
	}}})
	c.faults = faults
	t.Cleanup(func() {
		_ = c.pool.Close()
		stop()
		running.Wait()
	})
	return c
}

func (c *cluster) nextFault() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.faults) == 0 {
		return faultNone
	}
	f := c.faults[0]
	c.faults = c.faults[1:]
	return f
}

func (c *cluster) apply(command registrar.Command) (*messenger.ClaimReply, error) {
	data, err := command.Encode()
	if err != nil {
		return nil, err
	}
	fault := c.nextFault()
	if fault == faultLost {
		return nil, errLost
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.index++
	encoded, _ := c.state.Apply(c.index, data)
	result, err := registrar.DecodeResult(encoded)
	if err != nil || fault == faultReplyLost {
		return nil, errors.Join(err, errLost)
	}
	if result.Claim == nil {
		return nil, nil
	}
	return translator.ClaimResultTo(*result.Claim)
}

// current returns the agent that gets all calls.
func (c *cluster) current() *testAgent {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.agents[len(c.agents)-1]
}

// restart gives the current agent a new dispatcher, with the next incarnation and without
// memory of earlier calls.
func (c *cluster) restart() {
	c.mu.Lock()
	defer c.mu.Unlock()
	old := c.agents[len(c.agents)-1]
	old.dispatcher = &dispatcher.Dispatcher{Incarnation: old.dispatcher.Incarnation + 1}
}

func (a *testAgent) currentDispatcher() *dispatcher.Dispatcher {
	a.cluster.mu.Lock()
	defer a.cluster.mu.Unlock()
	return a.dispatcher
}

func (a *testAgent) Call(ctx context.Context, req *messenger.CallRequest) (*messenger.CallReply, error) {
	fault := a.cluster.nextFault()
	if fault == faultLost {
		return nil, errLost
	}
	reply, _ := a.currentDispatcher().Dispatch(ctx, time.Now(), req.GetClaim(), func(context.Context) *messenger.CallReply {
		a.cluster.mu.Lock()
		defer a.cluster.mu.Unlock()
		a.cluster.runs[string(req.GetBody())]++
		return &messenger.CallReply{Ran: messenger.Ran_RAN_YES, Status: 201, Body: req.GetBody()}
	})
	if fault == faultReplyLost {
		return nil, errLost
	}
	return reply, nil
}

func (a *testAgent) RefuseClaim(ctx context.Context, req *messenger.RefuseClaimRequest) (*messenger.RefuseClaimReply, error) {
	fault := a.cluster.nextFault()
	if fault == faultLost {
		return nil, errLost
	}
	reply := a.currentDispatcher().Refuse(ctx, time.Now(), req.GetClaim())
	if fault == faultReplyLost {
		return nil, errLost
	}
	return &messenger.RefuseClaimReply{Ran: reply.GetRan(), Reply: reply}, nil
}

// booker returns the booker of one entry.
func (c *cluster) booker() *Booker {
	return &Booker{
		Pool: c.pool,
		Choose: func(ctx context.Context, _ time.Time, _ string, _ []Target) (Target, error) {
			if ctx.Err() != nil {
				return Target{}, ctx.Err()
			}
			agent := c.current()
			return Target{Server: "s", Address: agent.address, Incarnation: agent.currentDispatcher().Incarnation}, nil
		},
		Claim: func(_ context.Context, r *messenger.ClaimRequest) (*messenger.ClaimReply, error) {
			return c.apply(registrar.Command{Claim: &registrar.MakeClaim{
				Claim: translator.ClaimFrom(r.GetClaim()), Claimant: r.GetClaimant(), AfterEpoch: r.GetAfterEpoch(),
			}})
		},
		RecordOutcome: func(_ context.Context, claim *messenger.Claim, outcome *messenger.CallReply) (*messenger.ClaimReply, error) {
			data, err := proto.Marshal(outcome)
			if err != nil {
				return nil, err
			}
			return c.apply(registrar.Command{Outcome: &registrar.RecordOutcome{Claim: translator.ClaimFrom(claim), Reply: data}})
		},
		RecordRefusal: func(_ context.Context, claim *messenger.Claim) (*messenger.ClaimReply, error) {
			return c.apply(registrar.Command{Refuse: &registrar.RefuseClaim{Claim: translator.ClaimFrom(claim)}})
		},
		AddressOf: func(string) (string, bool) { return c.current().address, true },
		Report:    func(time.Time, Target, bool) {},
		Release:   func(Target) {},
	}
}

func (c *cluster) call(id, body string) (*messenger.CallReply, error) {
	return c.booker().Call(context.Background(), newRequest(id, body))
}

func newRequest(id, body string) Request {
	return Request{
		ID: id, Workspace: "w", Service: "rota", Method: "POST", Path: "/swaps", Body: []byte(body),
		Key: "key", KeyFromCaller: true, Deadline: time.Now().Add(callTimeout),
	}
}

func (c *cluster) runCount(body string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.runs[body]
}

// TestCallSurvivesOneLostMessage loses each message in turn, or its reply, and then sends the
// same call again through another entry. The step "second" is the claim of that second call.
func TestCallSurvivesOneLostMessage(t *testing.T) {
	steps := []string{"claim", "call", "outcome", "second"}
	for i, name := range steps {
		for _, fault := range []int{faultLost, faultReplyLost} {
			t.Run(fmt.Sprintf("%s/%d", name, fault), func(t *testing.T) {
				faults := make([]int, i+1)
				faults[i] = fault
				c := newCluster(t, faults)
				_, firstErr := c.call("c1", "swap")
				checkOutcome(t, firstErr, c.runCount("swap"))
				reply, err := c.call("c2", "swap")
				var unknown *UnknownError
				if errors.As(err, &unknown) {
					// The second call may be the one that lost a message.
					reply, err = c.call("c3", "swap")
				}
				if err != nil || reply.GetStatus() != 201 || c.runCount("swap") != 1 {
					t.Errorf("again: %v, %v; it ran %d times (first: %v)", reply, err, c.runCount("swap"), firstErr)
				}
			})
		}
	}
}

func checkOutcome(t *testing.T, err error, runs int) {
	t.Helper()
	var notRun *NotRunError
	if errors.As(err, &notRun) && runs > 0 {
		t.Errorf("the call ran, but the caller got: %v", err)
	}
	if err == nil && runs != 1 {
		t.Errorf("the caller got an answer, but the call ran %d times", runs)
	}
}

func TestKeyReusedForAnotherRequestConflicts(t *testing.T) {
	c := newCluster(t, nil)
	if _, err := c.call("c1", "swap"); err != nil {
		t.Fatal(err)
	}
	var conflict *ConflictError
	if _, err := c.call("c2", "other swap"); !errors.As(err, &conflict) || c.runCount("other swap") != 0 {
		t.Errorf("got %v, want a ConflictError and no run", err)
	}
}

// An earlier version could commit that it is unknown whether a call ran. The call then waited for
// another outcome until its deadline, which callers need not set.
func TestCommittedUnknownOutcomeEndsTheCall(t *testing.T) {
	c := newCluster(t, nil)
	req := newRequest("c1", "swap")
	claimed, err := c.apply(registrar.Command{Claim: &registrar.MakeClaim{
		Claim: registrar.Claim{Workspace: "w", Key: "key", Digest: req.Digest(), Server: "s", Incarnation: 2}, Claimant: "c0/1",
	}})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := c.booker().RecordOutcome(t.Context(), claimed.GetClaim(), &messenger.CallReply{Ran: messenger.Ran_RAN_UNKNOWN}); err != nil {
		t.Fatal(err)
	}
	b := c.booker()
	chosen := 0
	choose := b.Choose
	b.Choose = func(ctx context.Context, now time.Time, service string, avoid []Target) (Target, error) {
		chosen++
		return choose(ctx, now, service, avoid)
	}
	var unknown *UnknownError
	if _, err := b.Call(t.Context(), req); !errors.As(err, &unknown) || chosen != 1 {
		t.Errorf("got %v after %d rounds, want an UnknownError after one", err, chosen)
	}
}

// A failure of control says nothing of the backend server that was chosen.
func TestFailedClaimDoesNotCountAgainstTheBackendServer(t *testing.T) {
	c := newCluster(t, nil)
	b := c.booker()
	b.Claim = func(context.Context, *messenger.ClaimRequest) (*messenger.ClaimReply, error) { return nil, errLost }
	released := 0
	b.Release = func(Target) { released++ }
	b.Report = func(time.Time, Target, bool) { t.Error("reported though nothing was sent") }
	if _, err := b.Call(t.Context(), newRequest("c1", "swap")); err == nil || released != 1 {
		t.Errorf("got %v, %d targets released", err, released)
	}
}

// TestOutcomeUnknownAfterAgentRestart loses the reply to the call and the first request to
// refuse the claim. The agent restarts whenever its address is looked up, so that the claim
// is resolved by an incarnation that has no memory of the call.
func TestOutcomeUnknownAfterAgentRestart(t *testing.T) {
	c := newCluster(t, []int{faultNone, faultReplyLost, faultLost})
	b := c.booker()
	b.AddressOf = func(string) (string, bool) { c.restart(); return c.current().address, true }
	_, err := b.Call(context.Background(), newRequest("c1", "swap"))
	var unknown *UnknownError
	if !errors.As(err, &unknown) {
		t.Errorf("got %v, want an UnknownError", err)
	}
	if _, err := c.call("c2", "swap"); !errors.As(err, &unknown) || c.runCount("swap") != 1 {
		t.Errorf("again: %v; it ran %d times", err, c.runCount("swap"))
	}
}

// TestCallsRunAtMostOnce sends the same call from several entries at once, with random
// losses and an agent's restart.
func TestCallsRunAtMostOnce(t *testing.T) {
	params := gopter.DefaultTestParametersWithSeed(propertySeed)
	params.MinSuccessfulTests = 60
	properties := gopter.NewProperties(params)
	properties.Property("a call runs at most once, and never after 'not run'", prop.ForAll(
		func(faults []int, restart bool) bool {
			c := newCluster(t, faults)
			var wg sync.WaitGroup
			errs := make([]error, 3)
			for i := range errs {
				wg.Go(func() { _, errs[i] = c.call(fmt.Sprintf("c%d", i), "swap") })
			}
			if restart {
				c.restart()
			}
			wg.Wait()
			for _, err := range errs {
				var notRun *NotRunError
				if errors.As(err, &notRun) && c.runCount("swap") > 0 || err == nil && c.runCount("swap") != 1 {
					return false
				}
			}
			return c.runCount("swap") <= 1
		},
		gen.SliceOfN(12, gen.IntRange(0, faultCount-1)), gen.Bool(),
	))
	properties.TestingRun(t)
}
