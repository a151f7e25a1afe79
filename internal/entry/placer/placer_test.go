package placer

import (
	"context"
	"errors"
	"testing"
	"time"

	"verbenareach/internal/control/registrar"
	"verbenareach/internal/entry/booker"
	"verbenareach/internal/entry/ejector"
	"verbenareach/internal/entry/queuer"
	"verbenareach/internal/entry/relayer"
	"verbenareach/internal/entry/router"
	"verbenareach/internal/wire/messenger"
)

var testNow = time.Unix(1_000_000_000, 0)

// fixture is a placer with a view that tests change.
type fixture struct {
	*Placer

	view registrar.View
}

func newFixture() *fixture {
	f := &fixture{}
	f.Placer = &Placer{
		View: func() registrar.View { return f.view }, Router: router.New(router.DefaultSettings("", "")),
		Queue: &queuer.Queue{}, Ejector: &ejector.Ejector{}, SlowStart: 30 * time.Second,
	}
	return f
}

func (f *fixture) join(name string, incarnation uint64, b registrar.Backend) {
	f.view = f.view.WithMember(f.view.Index+1, registrar.Member{Name: name, Role: registrar.RoleAgent, Incarnation: incarnation, Backend: b})
}

func (f *fixture) mark(name string, number uint64, leaving bool) {
	f.view = f.view.WithMark(f.view.Index+1, registrar.Mark{Server: name, Number: number, Leaving: leaving})
}

func engine() registrar.Backend {
	return registrar.Backend{Kind: registrar.BackendEngine, Models: []registrar.LoadedModel{{Model: "m"}}, MemoryTokens: 60_000}
}

func service() registrar.Backend {
	return registrar.Backend{Kind: registrar.BackendService, Service: "rota"}
}

// choose places one generation, or fails if the generation would have to wait: its context
// is canceled.
func (f *fixture) choose(now time.Time, avoid ...string) (relayer.Target, error) {
	var targets []relayer.Target
	for _, name := range avoid {
		targets = append(targets, relayer.Target{Server: name})
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	return f.ChooseEngine(ctx, now, &messenger.GenerateStart{Model: "m", Workspace: "w", PromptTokens: 10}, targets, now.Add(time.Minute))
}

// chooseMany places n generations and returns the number for each server.
func (f *fixture) chooseMany(t *testing.T, now time.Time, n int) map[string]int {
	t.Helper()
	counts := make(map[string]int)
	for range n {
		target, err := f.choose(now)
		if err != nil {
			t.Fatal(err)
		}
		counts[target.Server]++
	}
	return counts
}

func TestLeavingServerGetsNothing(t *testing.T) {
	f := newFixture()
	f.join("a", 1, engine())
	f.join("b", 1, engine())
	f.mark("a", 1, true)
	if counts := f.chooseMany(t, testNow, 20); counts["a"] != 0 {
		t.Errorf("spread %v", counts)
	}
	f.mark("b", 1, true)
	if target, err := f.choose(testNow); err == nil {
		t.Errorf("chose %s although all are leaving", target.Server)
	}
}

func TestSlowStart(t *testing.T) {
	f := newFixture()
	f.join("a", 1, engine())
	f.chooseMany(t, testNow, 20)
	f.join("b", 1, engine())
	if counts := f.chooseMany(t, testNow, 20); counts["b"] == 0 || counts["b"] > 5 {
		t.Errorf("just after b joined: %v", counts)
	}
	f.mark("a", 1, true)
	f.choose(testNow)
	f.mark("a", 2, false)
	later := testNow.Add(time.Minute)
	if counts := f.chooseMany(t, later, 20); counts["a"] > 2 {
		t.Errorf("just after a returned, with 40 requests from before: %v", counts)
	}
}

// TestSlowStartNeedsEstablishedPeer joins servers after the entry's first view: without an
// established peer, slow start must not bound them.
func TestSlowStartNeedsEstablishedPeer(t *testing.T) {
	f := newFixture()
	f.choose(testNow)
	f.join("a", 1, engine())
	f.join("b", 1, engine())
	if counts := f.chooseMany(t, testNow, 40); counts["a"]+counts["b"] != 40 {
		t.Errorf("spread %v", counts)
	}
}

func TestReportGeneration(t *testing.T) {
	tests := []struct {
		name    string
		outcome relayer.Outcome
		// backoff is how long the server gets no work.
		backoff time.Duration
	}{
		{"no room", relayer.Outcome{Reason: messenger.DeclineReason_DECLINE_REASON_MEMORY}, defaultNoRoomBackoff},
		{"no room, with retry-after", relayer.Outcome{Reason: messenger.DeclineReason_DECLINE_REASON_MEMORY, RetryAfter: 10 * time.Millisecond}, 10 * time.Millisecond},
		{"no room, with too long a retry-after", relayer.Outcome{Reason: messenger.DeclineReason_DECLINE_REASON_MEMORY, RetryAfter: time.Hour}, maxNoRoomBackoff},
		{"leaving", relayer.Outcome{Reason: messenger.DeclineReason_DECLINE_REASON_LEAVING}, failureBackoff},
		{"not reached", relayer.Outcome{}, failureBackoff},
		{"lost", relayer.Outcome{Admitted: true, Lost: true}, failureBackoff},
		{"whole", relayer.Outcome{Admitted: true, FirstToken: time.Millisecond}, 0},
		{"caller gone", relayer.Outcome{Admitted: true, Lost: true, CallerGone: true}, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFixture()
			f.join("a", 1, engine())
			target, err := f.choose(testNow)
			if err != nil {
				t.Fatal(err)
			}
			f.ReportGeneration(testNow, target, tt.outcome)
			if n := f.servers["a"].outstanding; n != 0 {
				t.Errorf("%d outstanding after the report", n)
			}
			if tt.backoff > 0 {
				if _, err := f.choose(testNow.Add(tt.backoff - 1)); err == nil {
					t.Error("chosen again at once")
				}
			}
			if _, err := f.choose(testNow.Add(tt.backoff)); err != nil {
				t.Errorf("not chosen after %s: %v", tt.backoff, err)
			}
		})
	}
}

func TestFailingServerIsEjected(t *testing.T) {
	f := newFixture()
	for _, name := range []string{"a", "b", "c"} {
		f.join(name, 1, engine())
	}
	f.chooseMany(t, testNow, 3)
	for range ejector.DefaultFailures {
		f.ReportGeneration(testNow, relayer.Target{Server: "a"}, relayer.Outcome{})
	}
	if counts := f.chooseMany(t, testNow.Add(failureBackoff), 30); counts["a"] != 0 {
		t.Errorf("an ejected server got work: %v", counts)
	}
	f.join("a", 2, engine())
	f.chooseMany(t, testNow.Add(failureBackoff), 1)
	if !f.Ejector.Usable(testNow, "a") {
		t.Error("a restarted server is still ejected")
	}
}

func TestAvoidedServerOnlyIfAlone(t *testing.T) {
	f := newFixture()
	f.join("a", 1, engine())
	f.join("b", 1, engine())
	for range 10 {
		if target, err := f.choose(testNow, "a"); err != nil || target.Server != "b" {
			t.Fatalf("chose %s, %v", target.Server, err)
		}
	}
	if target, err := f.choose(testNow, "a", "b"); err != nil || target.Server == "" {
		t.Errorf("none chosen although both could be tried again: %v", err)
	}
}

func TestChooseService(t *testing.T) {
	f := newFixture()
	f.join("a", 1, service())
	f.join("b", 1, service())
	ctx := context.Background()
	first, err := f.ChooseService(ctx, testNow, "rota", nil)
	if err != nil {
		t.Fatal(err)
	}
	second, err := f.ChooseService(ctx, testNow, "rota", nil)
	if err != nil || second.Server == first.Server {
		t.Errorf("second call to %s, %v", second.Server, err)
	}
	avoiding, err := f.ChooseService(ctx, testNow, "rota", []booker.Target{first})
	if err != nil || avoiding.Server == first.Server {
		t.Errorf("call that avoids %s went to %s, %v", first.Server, avoiding.Server, err)
	}
	canceled, cancel := context.WithCancel(ctx)
	cancel()
	before := f.servers["a"].outstanding + f.servers["b"].outstanding
	if _, err := f.ChooseService(canceled, testNow, "rota", nil); !errors.Is(err, context.Canceled) {
		t.Errorf("got %v with a canceled context", err)
	}
	if n := f.servers["a"].outstanding + f.servers["b"].outstanding; n != before {
		t.Errorf("%d outstanding, want %d", n, before)
	}
	if _, err := f.ChooseService(canceled, testNow, "other", nil); err == nil {
		t.Error("chose a server for an unknown service")
	}
}
