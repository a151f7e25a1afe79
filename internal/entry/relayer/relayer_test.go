package relayer

import (
	"context"
	"errors"
	"fmt"
	"net"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
	"storj.io/drpc/drpcmux"

	"verbenareach/internal/generation/sequencer"
	"verbenareach/internal/wire/acceptor"
	"verbenareach/internal/wire/dialer"
	"verbenareach/internal/wire/messenger"
)

const (
	propertySeed = 20261204
	testTokens   = 20
	testDeadline = 20 * time.Second
)

// step is one action of a fake agent in an attempt.
type step func(a *attemptScript) error

// attemptScript is the fake agent's side of one attempt.
type attemptScript struct {
	stream messenger.DRPCAgent_GenerateStream
	epoch  uint32
	next   uint64
	start  *messenger.GenerateStart
}

// fakeAgent runs one script for each attempt, and the last one for all further attempts.
type fakeAgent struct {
	messenger.DRPCAgentUnimplementedServer

	mu      sync.Mutex
	scripts [][]step
	// starts are the start messages received, attaches the number of attach messages.
	starts   []*messenger.GenerateStart
	attaches int
	// abandoned are the received calls of Abandon.
	abandoned []*messenger.AbandonRequest
}

func (f *fakeAgent) Abandon(_ context.Context, req *messenger.AbandonRequest) (*messenger.AbandonReply, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.abandoned = append(f.abandoned, req)
	return &messenger.AbandonReply{}, nil
}

func (f *fakeAgent) Generate(stream messenger.DRPCAgent_GenerateStream) error {
	up, err := stream.Recv()
	if err != nil {
		return err
	}
	f.mu.Lock()
	script := f.scripts[0]
	if len(f.scripts) > 1 {
		f.scripts = f.scripts[1:]
	}
	a := &attemptScript{stream: stream, epoch: 1}
	if start := up.GetStart(); start != nil {
		f.starts = append(f.starts, start)
		a.start, a.epoch, a.next = start, start.GetEpoch(), uint64(len(start.GetDelivered()))
	} else {
		f.attaches++
		a.next = up.GetAttach().GetNextIndex()
		a.start = &messenger.GenerateStart{GenerationId: up.GetAttach().GetGenerationId(), Epoch: 1, Model: "m"}
	}
	f.mu.Unlock()
	a.run(script)
	return nil
}

// run runs the steps up to the first that fails.
func (a *attemptScript) run(script []step) {
	for _, s := range script {
		if s(a) != nil {
			return
		}
	}
}

func (a *attemptScript) send(down *messenger.GenerateDown) error { return a.stream.Send(down) }

func admit(a *attemptScript) error {
	return a.send(&messenger.GenerateDown{Body: &messenger.GenerateDown_Admitted{Admitted: &messenger.Admitted{Incarnation: 1, Start: a.start}}})
}

func decline(a *attemptScript) error {
	return a.send(&messenger.GenerateDown{Body: &messenger.GenerateDown_Declined{Declined: &messenger.Declined{Reason: messenger.DeclineReason_DECLINE_REASON_MEMORY}}})
}

// batch sends n tokens from index first on, in the attempt's epoch plus epochOffset.
func batch(a *attemptScript, epochOffset int, first uint64, n int) error {
	texts := make([]string, n)
	for i := range texts {
		texts[i] = textOf(first + uint64(i))
	}
	return a.send(&messenger.GenerateDown{Body: &messenger.GenerateDown_Tokens{
		Tokens: &messenger.Tokens{Epoch: uint32(int(a.epoch) + epochOffset), FirstIndex: first, Texts: texts},
	}})
}

func tokens(n int) step {
	return func(a *attemptScript) error {
		err := batch(a, 0, a.next, n)
		a.next += uint64(n)
		return err
	}
}

// remaining sends all remaining tokens and the end.
func remaining(a *attemptScript) error {
	if err := batch(a, 0, a.next, testTokens-int(a.next)); err != nil {
		return err
	}
	return end(testTokens)(a)
}

func end(next uint64) step {
	return func(a *attemptScript) error {
		return a.send(&messenger.GenerateDown{Body: &messenger.GenerateDown_End{End: &messenger.GenerateEnd{Epoch: a.epoch, NextIndex: next, FinishReason: "stop"}}})
	}
}

func fail(resumable bool) step {
	return func(a *attemptScript) error {
		return a.send(&messenger.GenerateDown{Body: &messenger.GenerateDown_Failed{Failed: &messenger.GenerateFailed{Epoch: a.epoch, Cause: "engine lost", Resumable: resumable}}})
	}
}

func disconnect(*attemptScript) error { return errors.New("cut") }

// hang sends nothing and keeps the stream open until the entry cancels it.
func hang(a *attemptScript) error {
	<-a.stream.Context().Done()
	return a.stream.Context().Err()
}

func textOf(index uint64) string { return fmt.Sprintf("t%d ", index) }

// testbed is a relayer with fake agents.
type testbed struct {
	relayer *Relayer
	targets []Target
	agents  []*fakeAgent
	got     []string
	ended   bool
}

func newTestbed(t testing.TB, scripts ...[][]step) *testbed {
	b := &testbed{}
	ctx, stop := context.WithCancel(context.Background())
	var running sync.WaitGroup
	for i, script := range scripts {
		agent := &fakeAgent{scripts: script}
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		accept := &acceptor.Acceptor{Listener: l, Register: func(mux *drpcmux.Mux) error { return messenger.DRPCRegisterAgent(mux, agent) }}
		running.Go(func() { _ = accept.Run(ctx) })
		b.agents = append(b.agents, agent)
		b.targets = append(b.targets, Target{Server: fmt.Sprintf("s%d", i), Address: l.Addr().String(), Incarnation: 1})
	}
	pool := dialer.New()
	b.relayer = &Relayer{Pool: pool, Choose: b.choose, StallTimeout: 200 * time.Millisecond, ResumeTimeout: testDeadline}
	t.Cleanup(func() {
		_ = pool.Close()
		stop()
		running.Wait()
	})
	return b
}

// choose returns the first target that is not in avoid.
func (b *testbed) choose(_ context.Context, _ time.Time, _ *messenger.GenerateStart, avoid []Target, _ time.Time) (Target, error) {
	for _, target := range b.targets {
		if !slices.Contains(avoid, target) {
			return target, nil
		}
	}
	return Target{}, errors.New("no backend server is left")
}

func (b *testbed) sink() Sink {
	return Sink{
		Admitted: func(sequencer.Cursor, *messenger.GenerateStart) error { return nil },
		Tokens: func(first uint64, texts []string) error {
			if first != uint64(len(b.got)) {
				return fmt.Errorf("token %d delivered at index %d", first, len(b.got))
			}
			b.got = append(b.got, texts...)
			return nil
		},
		End: func(string) error { b.ended = true; return nil },
	}
}

func (b *testbed) relay() error {
	start := &messenger.GenerateStart{GenerationId: "g", Workspace: "w", Model: "m"}
	return b.relayer.Relay(context.Background(), Request{Start: start, Deadline: time.Now().Add(testDeadline)}, b.sink())
}

// complete reports whether each token was delivered once and in order, and then the end.
func (b *testbed) complete() bool {
	for i, text := range b.got {
		if text != textOf(uint64(i)) {
			return false
		}
	}
	return b.ended && len(b.got) == testTokens
}

func TestRelayOverFaults(t *testing.T) {
	good := [][]step{{admit, remaining}}
	tests := []struct {
		name    string
		scripts [][][]step
		epochs  []uint32
	}{
		{name: "undisturbed", scripts: [][][]step{good}},
		{name: "declined twice", scripts: [][][]step{{{decline}}, {{decline}}, good}, epochs: []uint32{1, 1, 1}},
		{name: "agent killed", scripts: [][][]step{{{admit, tokens(5), disconnect}}, good}, epochs: []uint32{1, 2}},
		{name: "engine lost", scripts: [][][]step{{{admit, tokens(5), fail(true)}}, good}, epochs: []uint32{1, 2}},
		{name: "only the link lost", scripts: [][][]step{{{admit, tokens(5), disconnect}, {admit, remaining}}}, epochs: []uint32{1}},
		{name: "link stalled", scripts: [][][]step{{{admit, tokens(5), hang}}, good}, epochs: []uint32{1, 2}},
		{name: "stalled before the answer", scripts: [][][]step{{{hang}}, good}, epochs: []uint32{1, 2}},
		{name: "tokens repeated", scripts: [][][]step{{{admit, tokens(5), func(a *attemptScript) error { return batch(a, 0, 2, 4) }, func(a *attemptScript) error { a.next = 6; return nil }, remaining}}}},
		{name: "tokens skipped", scripts: [][][]step{{{admit, tokens(5), func(a *attemptScript) error { return batch(a, 0, 7, 2) }}}, good}, epochs: []uint32{1, 2}},
		{name: "tokens of another epoch", scripts: [][][]step{{{admit, tokens(5), func(a *attemptScript) error { return batch(a, 3, 5, 2) }, remaining}}}},
		{name: "end too early", scripts: [][][]step{{{admit, tokens(5), end(9)}}, good}, epochs: []uint32{1, 2}},
		{name: "two losses", scripts: [][][]step{{{admit, tokens(5), disconnect}}, {{admit, tokens(5), fail(true)}}, good}, epochs: []uint32{1, 2, 3}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := newTestbed(t, tt.scripts...)
			if err := b.relay(); err != nil {
				t.Fatal(err)
			}
			if !b.complete() {
				t.Errorf("got %q, ended %v", b.got, b.ended)
			}
			var epochs []uint32
			for _, agent := range b.agents {
				agent.mu.Lock()
				defer agent.mu.Unlock()
				for _, start := range agent.starts {
					epochs = append(epochs, start.GetEpoch())
				}
			}
			if tt.epochs != nil && !slices.Equal(epochs, tt.epochs) {
				t.Errorf("epochs %v, want %v", epochs, tt.epochs)
			}
		})
	}
}

func TestRelayReportsWhetherItRan(t *testing.T) {
	tests := []struct {
		name    string
		scripts [][][]step
		notRun  bool
		ran     messenger.Ran
	}{
		{name: "all declined", scripts: [][][]step{{{decline}}, {{decline}}}, notRun: true},
		{name: "stalled before the answer, then declined", scripts: [][][]step{{{hang}}, {{decline}}}, ran: messenger.Ran_RAN_UNKNOWN},
		{name: "cut before the answer", scripts: [][][]step{{{disconnect}}}, ran: messenger.Ran_RAN_UNKNOWN},
		{name: "lost for good", scripts: [][][]step{{{admit, tokens(3), fail(false)}}}, ran: messenger.Ran_RAN_YES},
		{name: "lost and none left", scripts: [][][]step{{{admit, tokens(3), fail(true)}}, {{decline}}}, ran: messenger.Ran_RAN_YES},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := newTestbed(t, tt.scripts...)
			err := b.relay()
			var notRun *NotRunError
			var incomplete *IncompleteError
			switch {
			case tt.notRun != errors.As(err, &notRun):
				t.Errorf("got %v", err)
			case !tt.notRun && (!errors.As(err, &incomplete) || incomplete.Ran != tt.ran):
				t.Errorf("got %v (%+v), want ran %v", err, incomplete, tt.ran)
			}
		})
	}
}

func TestUnreachedAgentProvesNotRun(t *testing.T) {
	b := newTestbed(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	b.targets = []Target{{Server: "gone", Address: l.Addr().String()}}
	_ = l.Close()
	var notRun *NotRunError
	if err := b.relay(); !errors.As(err, &notRun) {
		t.Errorf("got %v", err)
	}
}

// TestSlowCallerIsNoStalledLink has a caller that takes longer to read than the stall
// timeout.
func TestSlowCallerIsNoStalledLink(t *testing.T) {
	b := newTestbed(t, [][]step{{admit, tokens(5), tokens(5), remaining}})
	sink := b.sink()
	deliver := sink.Tokens
	slow := b.relayer.StallTimeout * 3
	sink.Tokens = func(first uint64, texts []string) error {
		if first == 0 {
			time.Sleep(slow)
		}
		return deliver(first, texts)
	}
	start := &messenger.GenerateStart{GenerationId: "g", Workspace: "w", Model: "m"}
	if err := b.relayer.Relay(context.Background(), Request{Start: start, Deadline: time.Now().Add(testDeadline)}, sink); err != nil || !b.complete() {
		t.Errorf("%v, got %q", err, b.got)
	}
	if n := len(b.agents[0].starts) + b.agents[0].attaches; n != 1 {
		t.Errorf("%d attempts", n)
	}
}

func TestResumeAfterLoss(t *testing.T) {
	b := newTestbed(t, [][]step{{func(a *attemptScript) error { a.next = 0; return admit(a) }, tokens(12), disconnect}, {decline}}, [][]step{{admit, remaining}})
	for i := range uint64(8) {
		b.got = append(b.got, textOf(i))
	}
	cursor := sequencer.Cursor{Generation: "g", Server: "s0", Incarnation: 1, Epoch: 1, Index: 7}
	if err := b.relayer.Resume(context.Background(), "w", cursor, b.targets[0], b.sink()); err != nil || !b.complete() {
		t.Errorf("%v, got %q", err, b.got)
	}
}

// TestTokensDeliveredOnceDespiteRandomFaults runs random scripts at two agents and a
// good one at a third, and checks that the caller gets each token once.
func TestTokensDeliveredOnceDespiteRandomFaults(t *testing.T) {
	params := gopter.DefaultTestParametersWithSeed(propertySeed)
	params.MinSuccessfulTests = 60
	properties := gopter.NewProperties(params)
	faults := []step{
		tokens(1), tokens(3), disconnect, fail(true), decline, admit,
		func(a *attemptScript) error { return batch(a, 0, 0, 4) },
		func(a *attemptScript) error { return batch(a, 0, a.next+2, 1) },
		func(a *attemptScript) error { return batch(a, 1, a.next, 2) },
		end(testTokens + 1),
	}
	script := func(numbers []int) [][]step {
		steps := []step{admit}
		for _, n := range numbers {
			steps = append(steps, faults[n])
		}
		return [][]step{append(steps, disconnect), {decline}}
	}
	random := gen.SliceOfN(5, gen.IntRange(0, len(faults)-1))
	properties.Property("each token once, in order", prop.ForAll(
		func(first, second []int) bool {
			b := newTestbed(t, script(first), script(second), [][]step{{admit, remaining}})
			err := b.relay()
			return err == nil && b.complete()
		}, random, random,
	))
	properties.TestingRun(t)
}

// TestEndIsAcknowledgedToAgent has a caller that hangs up as soon as it has the end: the
// agent must get the acknowledgement all the same.
func TestEndIsAcknowledgedToAgent(t *testing.T) {
	acked := make(chan uint64, 1)
	b := newTestbed(t, [][]step{{admit, remaining, func(a *attemptScript) error {
		up, err := a.stream.Recv()
		if err == nil {
			acked <- up.GetAck().GetNextIndex()
		}
		close(acked)
		return err
	}}})
	ctx, hangUp := context.WithCancel(context.Background())
	sink := b.sink()
	sink.End = func(string) error {
		hangUp()
		// Another goroutine notices the hang-up; give it time.
		time.Sleep(20 * time.Millisecond)
		return nil
	}
	start := &messenger.GenerateStart{GenerationId: "g", Workspace: "w", Model: "m"}
	if err := b.relayer.Relay(ctx, Request{Start: start, Deadline: time.Now().Add(testDeadline)}, sink); err != nil {
		t.Fatal(err)
	}
	if next := <-acked; next != testTokens {
		t.Errorf("the agent got an acknowledgement of %d tokens", next)
	}
}

// TestLeftAttemptIsAbandoned checks that Abandon is called at an agent behind a stalled
// link, whose attempt was replaced.
func TestLeftAttemptIsAbandoned(t *testing.T) {
	b := newTestbed(t, [][]step{{admit, tokens(5), hang}}, [][]step{{admit, remaining}})
	if err := b.relay(); err != nil || !b.complete() {
		t.Fatalf("%v, got %q", err, b.got)
	}
	left := b.agents[0]
	for deadline := time.Now().Add(testDeadline); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		left.mu.Lock()
		n := len(left.abandoned)
		left.mu.Unlock()
		if n > 0 {
			break
		}
	}
	left.mu.Lock()
	defer left.mu.Unlock()
	if len(left.abandoned) != 1 || left.abandoned[0].GetEpoch() != 1 || left.abandoned[0].GetGenerationId() != "g" {
		t.Errorf("abandoned %v", left.abandoned)
	}
}

// TestResumeNeverRegeneratesTokens resumes a caller that has more tokens, or tokens of a
// later attempt, than the only agent left: tokens generated again may differ.
func TestResumeNeverRegeneratesTokens(t *testing.T) {
	shorter := [][]step{{func(a *attemptScript) error { a.next = 0; return admit(a) }, tokens(4), fail(true)}}
	older := [][]step{{func(a *attemptScript) error { a.next = 0; return admit(a) }, remaining}}
	tests := []struct {
		name     string
		script   [][]step
		epoch    uint32
		notFound bool
	}{
		{name: "fewer tokens than the caller has", script: shorter, epoch: 1},
		{name: "an older attempt", script: older, epoch: 2, notFound: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := newTestbed(t, tt.script, [][]step{{admit, remaining}})
			cursor := sequencer.Cursor{Generation: "g", Server: "s0", Incarnation: 1, Epoch: tt.epoch, Index: 7}
			err := b.relayer.Resume(context.Background(), "w", cursor, b.targets[0], b.sink())
			var incomplete *IncompleteError
			var notFound *NotFoundError
			if errors.As(err, &notFound) != tt.notFound || errors.As(err, &incomplete) == tt.notFound {
				t.Errorf("got %v", err)
			}
			if len(b.got) > 0 || len(b.agents[1].starts) > 0 {
				t.Errorf("delivered %q", b.got)
			}
		})
	}
}
