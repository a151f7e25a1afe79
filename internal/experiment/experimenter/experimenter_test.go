package experimenter

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"verbenareach/internal/agent/admitter"
	"verbenareach/internal/engine/emulator"
)

func testLoad(t *testing.T, name string, loadTime time.Duration) Load {
	t.Helper()
	for _, c := range loadProfiles() {
		if c.name == name {
			return c.generate(1, loadTime)
		}
	}
	t.Fatalf("no load %q", name)
	return Load{}
}

func TestRunServesAll(t *testing.T) {
	load := testLoad(t, "engine lost", 5*time.Second)
	want := 0
	for _, a := range load.Arrivals {
		want += a.Length
	}
	load.Time = time.Hour // All tokens are counted, and every generation can end.
	for _, p := range policies(emulator.DefaultParameters()) {
		t.Run(p.name, func(t *testing.T) {
			r := run(load, emulator.DefaultParameters(), p.make)
			if r.Tokens != want || r.Unfinished != 0 {
				t.Errorf("%d tokens of %d, %d unfinished", r.Tokens, want, r.Unfinished)
			}
			if got := int(r.First.TotalCount()); got != len(load.Arrivals) {
				t.Errorf("%d first tokens of %d", got, len(load.Arrivals))
			}
		})
	}
}

func TestRunIsRepeatable(t *testing.T) {
	load := testLoad(t, "choirs", 10*time.Second)
	p := emulator.DefaultParameters()
	p.MemoryTokens = 15_000
	s := admitter.NewSettings(p.MemoryTokens, admitter.ChoirsWeights())
	once := run(load, p, adaptive(s))
	again := run(load, p, adaptive(s))
	if diff := cmp.Diff(text(t, once), text(t, again)); diff != "" {
		t.Errorf("two runs differ:\n%s", diff)
	}
}

func TestAdaptiveBeatsAdmitAlways(t *testing.T) {
	load := testLoad(t, "choirs", 30*time.Second)
	p := emulator.DefaultParameters()
	p.MemoryTokens = 20_000
	always := run(load, p, admitAlways)
	ours := run(load, p, adaptive(admitter.NewSettings(p.MemoryTokens, admitter.ChoirsWeights())))
	if always.Preemptions < 40 || ours.Preemptions*4 > always.Preemptions {
		t.Errorf("%d preemptions, admit always %d", ours.Preemptions, always.Preemptions)
	}
}

func TestExperimentAddsSeeds(t *testing.T) {
	var done atomic.Int32
	e := &Experiment{Seeds: []uint64{1, 2}, Loads: []string{"burst"}, Time: time.Second, Done: func() { done.Add(1) }}
	rows, err := e.Run(context.Background())
	if err != nil || int(done.Load()) != e.Runs() || len(rows)*2 != e.Runs() {
		t.Fatalf("%d rows, %d runs of %d: %v", len(rows), done.Load(), e.Runs(), err)
	}
	for _, s := range Summaries(rows) {
		if s.Runs != 2 || s.Load != "burst" {
			t.Errorf("row %+v", s)
		}
	}
	folder := t.TempDir()
	if err := WritePlots(folder, rows); err != nil {
		t.Error(err)
	}
	if svg, err := os.ReadFile(filepath.Join(folder, "burst-stalls.svg")); err != nil || !bytes.Contains(svg, []byte("admit always")) {
		t.Errorf("plot of %d bytes, %v", len(svg), err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if _, err := e.Run(ctx); err == nil {
		t.Error("a cancelled experiment ran")
	}
}

// text formats a result as a table.
func text(t *testing.T, r *Result) string {
	t.Helper()
	var buf bytes.Buffer
	if err := WriteTable(&buf, []Row{{Load: "l", Policy: "p", Result: r}}); err != nil {
		t.Fatal(err)
	}
	if got := strings.Count(buf.String(), "\n"); got != 3 {
		t.Errorf("table has %d lines", got)
	}
	return buf.String()
}
