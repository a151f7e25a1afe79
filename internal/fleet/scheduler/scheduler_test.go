package scheduler

import (
	"fmt"
	"testing"
	"time"

	"verbenareach/internal/fleet/cataloger"
	"verbenareach/internal/wire/messenger"
)

// decisions collects what a scheduler decides.
type decisions struct {
	placed  map[string]*messenger.Placement
	refused map[string]*messenger.Placement
	moves   []*messenger.MoveOrder
}

var (
	start  = time.Unix(1000, 0)
	engine = cataloger.Engine{Slots: 8, Tokens: 10_000, TokenBytes: 300_000, LinkMbps: 40_000, Moves: true, Backups: true, Stride: 4,
		CopyLife: 5 * time.Second}
)

func newScheduler(backends ...*messenger.Backend) (*Scheduler, *decisions) {
	d := &decisions{placed: make(map[string]*messenger.Placement), refused: make(map[string]*messenger.Placement)}
	s := &Scheduler{Send: func(_ string, got Decision) {
		switch {
		case got.Move != nil:
			d.moves = append(d.moves, got.Move)
		case got.Placement.Backend == "":
			d.refused[got.Placement.Run] = got.Placement
		default:
			d.placed[got.Placement.Run] = got.Placement
		}
	}}
	s.SetEngines(map[string]cataloger.Engine{"llm": engine})
	s.SetBackends(start, backends)
	return s, d
}

func backendAt(id, domain string) *messenger.Backend {
	return &messenger.Backend{Id: id, Service: "llm", FailureDomain: domain, Slots: 8, Started: 1, Sequence: 1}
}

// drainingAt returns an engine in failure domain a that has told that it leaves.
func drainingAt(id string) *messenger.Backend {
	b := backendAt(id, "a")
	b.State, b.Sequence = messenger.Backend_STATE_DRAINING, 2
	return b
}

func demand(run string, prompt, output int32) *messenger.PlaceRequest {
	return &messenger.PlaceRequest{
		Run: run, Service: "llm", PromptTokens: prompt, HintTokens: output, MaxTokens: 4 * output,
		FailureDomain: "a", ObjectiveMs: 1500, DeadlineMs: 30_000,
	}
}

// streaming tells that a run has its first token.
func streaming(s *Scheduler, now time.Time, d *decisions, run string) {
	p := d.placed[run]
	s.Report(now, "entry", &messenger.RunState{
		Run: run, Backend: p.Backend, Backup: p.Backup, Phase: messenger.RunState_PHASE_STREAMING, MadeTokens: 4,
	})
}

func TestRunsGoWhereThereIsRoomNearTheClient(t *testing.T) {
	s, d := newScheduler(backendAt("far", "b"), backendAt("near", "a"))
	s.Ask(start, "entry", demand("1", 3000, 100))
	if got := d.placed["1"].GetBackend(); got != "near" {
		t.Fatalf("first run is placed on %q", got)
	}
	streaming(s, start, d, "1")
	s.Ask(start, "entry", demand("2", 3000, 100))
	if got := d.placed["2"].GetBackend(); got != "far" {
		t.Errorf("second run is placed on %q: the first one fills a third of the near engine", got)
	}
}

func TestMemoryIsNeverPromisedTwice(t *testing.T) {
	s, d := newScheduler(backendAt("e1", "a"), backendAt("e2", "a"))
	now := start
	for i := range 20 {
		run := fmt.Sprint(i)
		s.Ask(now, "entry", demand(run, 3000, 500))
		if d.placed[run] != nil {
			streaming(s, now, d, run)
		}
		now = now.Add(500 * time.Millisecond)
		for id, b := range s.backends {
			if used := s.used(now, b); used > engine.Tokens {
				t.Fatalf("%d tokens promised of %d on %s", used, engine.Tokens, id)
			}
		}
	}
	if len(d.placed) == 0 || len(d.refused) == 0 {
		t.Errorf("%d placed and %d refused of 20 that do not fit together", len(d.placed), len(d.refused))
	}
}

func TestRequestWaitsWhileItCanStillBeOnTime(t *testing.T) {
	s, d := newScheduler(backendAt("e1", "a"))
	s.Ask(start, "entry", demand("1", 8000, 100))
	streaming(s, start, d, "1")
	s.Ask(start, "entry", demand("2", 3000, 100))
	s.Advance(start.Add(500 * time.Millisecond))
	if d.placed["2"] != nil || d.refused["2"] != nil {
		t.Fatal("decided while it can still be on time")
	}
	s.Report(start.Add(600*time.Millisecond), "entry", &messenger.RunState{Run: "1", Phase: messenger.RunState_PHASE_ENDED})
	if d.placed["2"] == nil {
		t.Error("not placed when room came")
	}
}

func TestRequestThatCannotBeOnTimeIsRefusedAtOnce(t *testing.T) {
	s, d := newScheduler(backendAt("e1", "a"))
	s.Ask(start, "entry", demand("1", 8000, 100))
	streaming(s, start, d, "1")
	s.Ask(start, "entry", demand("2", 7000, 100))
	s.Advance(start.Add(600 * time.Millisecond))
	refusal := d.refused["2"]
	if refusal == nil {
		t.Fatal("held though its prompt takes a second of the 0.9 s that are left")
	}
	if refusal.RetryAfterMs <= 0 {
		t.Error("refusal does not say when to come back")
	}
	const want = "no engine has room in time: 1 ready, 0 resting, 0 reading, 1 without 7016 tokens, 1.02 of memory taken"
	if refusal.Reason != want {
		t.Errorf("refused for %q, want %q", refusal.Reason, want)
	}
}

func TestIdleEngineServesLateWhatIsTooLongForItsObjective(t *testing.T) {
	s, d := newScheduler(backendAt("e1", "a"))
	long := demand("1", 9000, 10)
	long.ObjectiveMs = 500
	s.Ask(start, "entry", long)
	if d.placed["1"] == nil {
		t.Error("refused though the engine is idle")
	}
}

func TestPromptsAreReadTwoAtATimeAtMost(t *testing.T) {
	s, d := newScheduler(backendAt("e1", "a"))
	for i := range 4 {
		s.Ask(start, "entry", demand(fmt.Sprint(i), 1000, 50))
	}
	if len(d.placed) != maxReading {
		t.Errorf("%d prompts are read at once", len(d.placed))
	}
	streaming(s, start.Add(150*time.Millisecond), d, "0")
	if len(d.placed) != maxReading+1 {
		t.Error("next prompt was not placed when one was read")
	}
}

func TestCopiesAreMadeOnlyWhileMemoryIsToSpare(t *testing.T) {
	s, d := newScheduler(backendAt("e1", "a"), backendAt("e2", "a"), backendAt("e3", "b"))
	s.Ask(start, "entry", demand("1", 2000, 400))
	if d.placed["1"].GetBackup() == "" {
		t.Error("no copy though all engines are idle")
	}
	if d.placed["1"].GetBackup() == d.placed["1"].GetBackend() {
		t.Error("copy lies on the engine that runs the generation")
	}
	s.Ask(start, "entry", demand("short", 1000, 20))
	if d.placed["short"].GetBackup() != "" {
		t.Error("a run that ends at once is copied")
	}
	now := start.Add(time.Second)
	for i := range 8 {
		run := fmt.Sprint("more-", i)
		s.Ask(now, "entry", demand(run, 2000, 400))
		if d.placed[run] != nil {
			streaming(s, now, d, run)
		}
		fill := s.fleetFill(now, "llm")
		if p := d.placed[run]; p.GetBackup() != "" && fill > maxFleetFill+0.25 {
			t.Errorf("copied at %.2f of all memory", fill)
		}
	}
}

func TestLeavingEngineIsEmptiedOneRunAtATime(t *testing.T) {
	s, d := newScheduler(backendAt("e1", "a"))
	s.engines["llm"] = engine
	now := start
	for i := range 3 {
		run := fmt.Sprint(i)
		s.Ask(now, "entry", demand(run, 1000, 400))
		streaming(s, now, d, run)
	}
	leaving := backendAt("e1", "a")
	leaving.State, leaving.Sequence = messenger.Backend_STATE_GONE, 2
	now = now.Add(time.Second)
	s.SetBackends(now, []*messenger.Backend{leaving, backendAt("e2", "a"), backendAt("e3", "b")})
	if len(d.moves) != 1 {
		t.Fatalf("%d moves at once, want 1", len(d.moves))
	}
	if d.moves[0].To != "e2" {
		t.Errorf("moves to %q, want the engine of its failure domain", d.moves[0].To)
	}
	s.Report(now.Add(200*time.Millisecond), "entry", &messenger.RunState{
		Run: d.moves[0].Run, Backend: "e2", Phase: messenger.RunState_PHASE_STREAMING, MadeTokens: 100,
	})
	if len(d.moves) != 2 || d.moves[1].Run == d.moves[0].Run {
		t.Errorf("%d moves after the first ended", len(d.moves))
	}
	s.Ask(now, "entry", demand("new", 1000, 100))
	if d.placed["new"].GetBackend() == "e1" {
		t.Error("a new run is placed on the engine that leaves")
	}
}

func TestMoveThatFailedIsTriedElsewhere(t *testing.T) {
	s, d := newScheduler(backendAt("e1", "a"))
	s.Ask(start, "entry", demand("1", 1000, 400))
	streaming(s, start, d, "1")
	leaving := backendAt("e1", "a")
	leaving.State, leaving.Sequence = messenger.Backend_STATE_DRAINING, 2
	now := start.Add(time.Second)
	s.SetBackends(now, []*messenger.Backend{leaving, backendAt("e2", "a"), backendAt("e3", "b")})
	s.Report(now, "entry", &messenger.RunState{Run: "1", Backend: "e1", Phase: messenger.RunState_PHASE_MOVE_FAILED})
	if len(d.moves) != 2 || d.moves[0].To != "e2" || d.moves[1].To != "e3" {
		t.Errorf("moves are %v", d.moves)
	}
}

func TestRunWithACopyGoesThereAtOnce(t *testing.T) {
	s, d := newScheduler(backendAt("e1", "a"), backendAt("e2", "a"))
	s.Ask(start, "entry", demand("1", 1000, 400))
	streaming(s, start, d, "1")
	p := d.placed["1"]
	now := start.Add(2 * time.Second)
	var reports []*messenger.Backend
	for _, id := range []string{"e1", "e2"} {
		r := backendAt(id, "a")
		if id == p.Backend {
			r.State, r.Sequence = messenger.Backend_STATE_GONE, 2
		}
		reports = append(reports, r)
	}
	s.SetBackends(now, reports)
	if len(d.moves) != 1 || !d.moves[0].Copied || d.moves[0].To != p.Backup {
		t.Errorf("moves are %v, want one to the copy on %s", d.moves, p.Backup)
	}
}

func TestEntryThatIsGoneFreesItsPlaces(t *testing.T) {
	s, d := newScheduler(backendAt("e1", "a"))
	s.Ask(start, "gone", demand("1", 8000, 100))
	s.Ask(start, "entry", demand("2", 8000, 100))
	if d.placed["2"] != nil {
		t.Fatal("two runs share memory for one")
	}
	s.Forget(start.Add(time.Millisecond), "gone")
	if d.placed["2"] == nil {
		t.Error("place of an entry that is gone is still held")
	}
}

func TestEngineThatLosesRunsIsAvoidedForLongerEachTime(t *testing.T) {
	s, d := newScheduler(backendAt("e1", "a"), backendAt("e2", "b"))
	now := start
	for i, wait := range []time.Duration{avoidAfterLoss, 2 * avoidAfterLoss, 4 * avoidAfterLoss} {
		run := fmt.Sprint("lost-", i)
		s.Ask(now, "entry", demand(run, 1000, 20))
		if got := d.placed[run].GetBackend(); got != "e1" {
			t.Fatalf("run %d is placed on %q, want the near engine again", i, got)
		}
		s.Report(now, "entry", &messenger.RunState{Run: run, Backend: "e1", Phase: messenger.RunState_PHASE_LOST})
		other := fmt.Sprint("other-", i)
		s.Ask(now.Add(wait-time.Millisecond), "entry", demand(other, 1000, 20))
		if got := d.placed[other].GetBackend(); got != "e2" {
			t.Errorf("placed on %q while the engine that lost a run is to be avoided", got)
		}
		s.Report(now.Add(wait), "entry", &messenger.RunState{Run: other, Backend: "e2", Phase: messenger.RunState_PHASE_ENDED})
		now = now.Add(wait)
	}
}

func TestEngineThatReadsSlowlyGetsFewerRunsUntilItIsTriedAgain(t *testing.T) {
	s, d := newScheduler(backendAt("slow", "a"), backendAt("sound", "b"))
	now := start
	for i := range 6 {
		run := fmt.Sprint(i)
		s.Ask(now, "entry", demand(run, 1400, 20))
		took := 200 * time.Millisecond
		if d.placed[run].GetBackend() == "slow" {
			took *= 5
		}
		now = now.Add(took)
		streaming(s, now, d, run)
		s.Report(now, "entry", &messenger.RunState{Run: run, Phase: messenger.RunState_PHASE_ENDED})
	}
	s.Ask(now, "entry", demand("next", 1400, 20))
	if got := d.placed["next"].GetBackend(); got != "sound" {
		t.Errorf("placed on %q though the near engine reads five times slower", got)
	}
	s.Report(now, "entry", &messenger.RunState{Run: "next", Phase: messenger.RunState_PHASE_ENDED})
	now = now.Add(20 * time.Second)
	s.Ask(now, "entry", demand("later", 1400, 20))
	if got := d.placed["later"].GetBackend(); got != "slow" {
		t.Errorf("placed on %q, want the near engine tried again after a while", got)
	}
}

func TestEngineWhosePromptIsOverdueGetsNoMore(t *testing.T) {
	s, d := newScheduler(backendAt("e1", "a"))
	s.Ask(start, "entry", demand("1", 1000, 50))
	s.SetBackends(start, []*messenger.Backend{backendAt("e1", "a"), backendAt("e2", "b")})
	later := start.Add(1200 * time.Millisecond)
	s.Ask(later, "entry", demand("2", 1000, 50))
	if got := d.placed["2"].GetBackend(); got != "e2" {
		t.Errorf("placed on %q: e1 reads 1000 tokens for 1.2 s by now", got)
	}
}

func TestReadingIsForecastAtThePaceOfLate(t *testing.T) {
	s, d := newScheduler(backendAt("e1", "a"))
	now := start
	for i := range 60 {
		run := fmt.Sprint("slow", i)
		s.Ask(now, "entry", demand(run, 3000, 50))
		now = now.Add(time.Second)
		streaming(s, now, d, run)
		s.Report(now, "entry", &messenger.RunState{Run: run, Phase: messenger.RunState_PHASE_ENDED})
	}
	if got := s.readEnd(now, s.backends["e1"], demand("next", 3000, 50)).Sub(now); got < 900*time.Millisecond {
		t.Errorf("a prompt of 3000 tokens is to be read in %v, while all of late took a second", got)
	}
	busy := demand("busy", 6000, 50)
	s.Ask(now, "entry", busy)
	s.Ask(now, "entry", demand("behind", 3000, 50))
	if d.placed["busy"] == nil || d.placed["behind"] != nil {
		t.Error("placed behind 6000 tokens, which take two seconds, for an objective of 1.5 s")
	}
}

func TestMemoryOfAFailedMoveIsTakenUntilItIsGivenBack(t *testing.T) {
	for _, released := range []bool{false, true} {
		t.Run(fmt.Sprintf("released %v", released), func(t *testing.T) {
			s, d := newScheduler(backendAt("e1", "a"))
			s.Ask(start, "entry", demand("1", 5000, 400))
			streaming(s, start, d, "1")
			draining := drainingAt("e1")
			s.SetBackends(start, []*messenger.Backend{draining, backendAt("e2", "a")})
			if len(d.moves) != 1 || d.moves[0].To != "e2" {
				t.Fatalf("moves %v", d.moves)
			}
			s.Report(start, "entry", &messenger.RunState{
				Run: "1", Backend: "e1", Phase: messenger.RunState_PHASE_MOVE_FAILED, MadeTokens: 8, Released: released,
			})
			taken := s.used(start, s.backends["e2"])
			if released && taken != 0 || !released && taken < 5000 {
				t.Errorf("%d tokens taken at once", taken)
			}
			if after := s.used(start.Add(7*time.Second), s.backends["e2"]); after != 0 {
				t.Errorf("%d tokens taken after seven seconds", after)
			}
		})
	}
}

func TestCopyOfARunThatIsNotWholeIsTakenForAWhile(t *testing.T) {
	for _, whole := range []bool{false, true} {
		t.Run(fmt.Sprintf("whole %v", whole), func(t *testing.T) {
			s, d := newScheduler(backendAt("e1", "a"), backendAt("e2", "a"))
			s.Ask(start, "entry", demand("1", 2000, 800))
			streaming(s, start, d, "1")
			holder := s.backends[d.placed["1"].Backup]
			if holder == nil {
				t.Fatal("no copy is made")
			}
			s.Report(start, "entry", &messenger.RunState{
				Run: "1", Backend: d.placed["1"].Backend, Phase: messenger.RunState_PHASE_ENDED, MadeTokens: 8, Whole: whole,
			})
			if taken := s.used(start, holder); whole && taken != 0 || !whole && taken < 2000 {
				t.Errorf("%d tokens taken where the copy was", taken)
			}
		})
	}
}

func TestNextRunIsCopiedOnceTheLinksAreFree(t *testing.T) {
	s, d := newScheduler(backendAt("e1", "a"))
	for _, run := range []string{"1", "2"} {
		s.Ask(start, "entry", demand(run, 2000, 800))
		streaming(s, start, d, run)
	}
	draining := drainingAt("e1")
	s.SetBackends(start, []*messenger.Backend{draining, backendAt("e2", "a"), backendAt("e3", "a")})
	if len(d.moves) != 1 {
		t.Fatalf("%d moves at once from one engine", len(d.moves))
	}
	first := d.moves[0]
	s.Report(start, "entry", &messenger.RunState{Run: first.Run, Backend: "e1", Phase: messenger.RunState_PHASE_COPIED, MadeTokens: 8})
	if len(d.moves) != 2 || d.moves[1].Run == first.Run {
		t.Fatalf("moves %v: the second run waits though the links are free", d.moves)
	}
	if used := s.used(start, s.backends[first.To]); used < 2000 {
		t.Errorf("%d tokens taken at the destination of a run that is about to continue there", used)
	}
	s.Report(start, "entry", &messenger.RunState{Run: first.Run, Backend: first.To, Phase: messenger.RunState_PHASE_STREAMING, MadeTokens: 8})
	if n := len(s.backends[first.To].runs); n != 1 {
		t.Errorf("%d runs at the destination", n)
	}
	if s.backends["e1"].moving == nil {
		t.Error("the second move is forgotten with the first one's end")
	}
}

func TestCopyOfARunThatEndsWhileItMovesIsTakenUntilItIsGivenBack(t *testing.T) {
	s, d := newScheduler(backendAt("e1", "a"))
	s.Ask(start, "entry", demand("1", 5000, 400))
	streaming(s, start, d, "1")
	draining := drainingAt("e1")
	s.SetBackends(start, []*messenger.Backend{draining, backendAt("e2", "a")})
	s.Report(start, "entry", &messenger.RunState{
		Run: "1", Backend: "e1", Phase: messenger.RunState_PHASE_ENDED, MadeTokens: 400, Whole: true,
	})
	if taken := s.used(start, s.backends["e2"]); taken < 5000 {
		t.Errorf("%d tokens taken where the run was moving to", taken)
	}
	if taken := s.used(start.Add(releaseTime), s.backends["e2"]); taken != 0 {
		t.Errorf("%d tokens taken after the host had time to give them back", taken)
	}
}

func TestMoveOfMemoryStartsNoFurtherCopy(t *testing.T) {
	for _, copied := range []bool{false, true} {
		t.Run(fmt.Sprintf("copied %v", copied), func(t *testing.T) {
			backends := []*messenger.Backend{backendAt("e1", "a")}
			if copied {
				backends = append(backends, backendAt("e2", "a"))
			}
			s, d := newScheduler(backends...)
			s.Ask(start, "entry", demand("1", 2000, 800))
			streaming(s, start, d, "1")
			from := d.placed["1"].Backend
			now := start.Add(2 * copyStart)
			for _, b := range []string{"e1", "e2", "e3", "e4"} {
				report := backendAt(b, "a")
				if b == from {
					report = drainingAt(b)
				}
				backends = append(backends, report)
			}
			s.SetBackends(now, backends[len(backends)-4:])
			if len(d.moves) != 1 || d.moves[0].Copied != copied {
				t.Fatalf("moves %v", d.moves)
			}
			if got := d.moves[0].Backup != ""; got != copied {
				t.Errorf("a further copy is made: %v; its memory would use the links while others move", got)
			}
		})
	}
}
