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

// DefaultTime is how long requests arrive in a load.
const DefaultTime = 150 * time.Second

type (
	// Experiment runs every load under every policy. Its fields are set before Run.
	Experiment struct {
		// Seeds are the seeds of the loads.
		Seeds []uint64
		// Loads names the loads to run; empty for all.
		Loads []string
		// Time is how long requests arrive.
		Time time.Duration
		// Done is called after each run, from any goroutine; nil for nothing.
		Done func()
	}

	// Row is the result of one policy under one load, over all seeds.
	Row struct {
		Load   string
		Policy string
		Result *Result
	}

	// cell is one run of the experiment.
	cell struct {
		load   recipe
		policy namedPolicy
		seed   uint64
		result *Result
	}
)

// Runs returns the number of runs.
func (e *Experiment) Runs() int {
	return len(e.cells())
}

// Run returns a row for each load and policy, in the same order each time.
func (e *Experiment) Run(ctx context.Context) ([]Row, error) {
	cells := e.cells()
	g, ctx := errgroup.WithContext(ctx)
	g.SetLimit(max(runtime.GOMAXPROCS(0)/3, 1))
	for i := range cells {
		g.Go(func() error {
			if err := ctx.Err(); err != nil {
				return err
			}
			c := &cells[i]
			c.result = run(c.load.record(c.seed, e.Time), emulator.DefaultParameters(), c.policy.make)
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
	for _, c := range cells {
		n := len(rows)
		if n > 0 && rows[n-1].Load == c.load.name && rows[n-1].Policy == c.policy.name {
			rows[n-1].Result.merge(c.result)
			continue
		}
		rows = append(rows, Row{Load: c.load.name, Policy: c.policy.name, Result: c.result})
	}
	return rows, nil
}

func (e *Experiment) cells() []cell {
	var cells []cell
	for _, load := range recipes() {
		if !e.selected(load.name) {
			continue
		}
		for _, p := range policies(emulator.DefaultParameters()) {
			for _, seed := range e.Seeds {
				cells = append(cells, cell{load: load, policy: p, seed: seed})
			}
		}
	}
	return cells
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
		{"choirs' weights", learned(admitter.NewSettings(p.MemoryTokens, admitter.ChoirsWeights()))},
		{"Association's weights", learned(admitter.NewSettings(p.MemoryTokens, admitter.AssociationWeights()))},
	}
}
