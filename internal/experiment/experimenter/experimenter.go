package experimenter

import (
	"context"
	"runtime"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"verbenareach/internal/agent/admitter"
	"verbenareach/internal/engine/emulator"
)

// DefaultTime is the default time for which the requests of a load arrive.
const DefaultTime = 150 * time.Second

type (
	// Experiment runs every load under every policy. Its fields must be set before Run.
	Experiment struct {
		// Seeds are the seeds of the loads.
		Seeds []uint64
		// Loads names the loads to run; empty for all.
		Loads []string
		// Time is the time for which requests arrive.
		Time time.Duration
		// Done is called after each run, concurrently; nil for no calls.
		Done func()
	}

	// Row is the result of one policy under one load, over all seeds.
	Row struct {
		Load   string
		Policy string
		Result *Result
	}

	// experimentRun is the run of one load with one seed under one policy.
	experimentRun struct {
		load   loadProfile
		policy namedPolicy
		seed   uint64
		result *Result
	}
)

// Runs returns the number of runs.
func (e *Experiment) Runs() int {
	return len(e.runs())
}

// Run returns a row for each load and policy, in the same order each time.
func (e *Experiment) Run(ctx context.Context) ([]Row, error) {
	runs := e.runs()
	g, ctx := errgroup.WithContext(ctx)
	g.SetLimit(max(runtime.GOMAXPROCS(0)/3, 1))
	for i := range runs {
		g.Go(func() error {
			if err := ctx.Err(); err != nil {
				return err
			}
			c := &runs[i]
			c.result = run(c.load.generate(c.seed, e.Time), emulator.DefaultParameters(), c.policy.make)
			if e.Done != nil {
				e.Done()
			}
			return nil
		})
	}
	if err := g.Wait(); err != nil {
		return nil, err
	}
	var rows []Row
	for _, c := range runs {
		n := len(rows)
		if n > 0 && rows[n-1].Load == c.load.name && rows[n-1].Policy == c.policy.name {
			rows[n-1].Result.merge(c.result)
			continue
		}
		rows = append(rows, Row{Load: c.load.name, Policy: c.policy.name, Result: c.result})
	}
	return rows, nil
}

func (e *Experiment) runs() []experimentRun {
	var runs []experimentRun
	for _, load := range loadProfiles() {
		if !e.selected(load.name) {
			continue
		}
		for _, p := range policies(emulator.DefaultParameters()) {
			for _, seed := range e.Seeds {
				runs = append(runs, experimentRun{load: load, policy: p, seed: seed})
			}
		}
	}
	return runs
}

func (e *Experiment) selected(load string) bool {
	return len(e.Loads) == 0 || slices.Contains(e.Loads, load)
}

func policies(p emulator.Parameters) []namedPolicy {
	return []namedPolicy{
		{"round robin", roundRobin},
		{"least outstanding", leastOutstanding},
		{"reserve the maximum", reserveMaximum(p.MemoryTokens)},
		{"admit always", admitAlways},
		{"oracle", oracle(p)},
		{"choirs' weights", adaptive(admitter.NewSettings(p.MemoryTokens, admitter.ChoirsWeights()))},
		{"Association's weights", adaptive(admitter.NewSettings(p.MemoryTokens, admitter.AssociationWeights()))},
	}
}
