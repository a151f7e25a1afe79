package commander

import (
	"encoding/json"
	"io"

	"github.com/alecthomas/kingpin/v2"
	"github.com/schollz/progressbar/v3"

	"verbenareach/internal/experiment/experimenter"
)

func addExperiment(app *kingpin.Application, run map[string]func() error, stdout, stderr io.Writer) {
	cmd := app.Command("experiment", "Compare policies for placement and admission of generations on simulated engines.")
	e := &experimenter.Experiment{}
	var asJSON bool
	var plots string
	cmd.Flag("seed", "Seed of a load; repeatable.").Default("1", "2", "3").Uint64ListVar(&e.Seeds)
	cmd.Flag("load", "Load to run; repeatable. All by default.").EnumsVar(&e.Loads, experimenter.LoadNames()...)
	cmd.Flag("time", "Time for which requests arrive.").Default(experimenter.DefaultTime.String()).DurationVar(&e.Time)
	cmd.Flag("json", "Print the rows as JSON.").BoolVar(&asJSON)
	cmd.Flag("plots", "Folder in which to write plots as SVG files.").ExistingDirVar(&plots)
	run[cmd.FullCommand()] = func() error {
		ctx, stop := untilSignal()
		defer stop()
		bar := progressbar.NewOptions(e.Runs(),
			progressbar.OptionSetWriter(stderr), progressbar.OptionClearOnFinish(),
			progressbar.OptionSetDescription("runs"))
		// A progress bar that can't be drawn must not fail the experiment.
		e.Done = func() { _ = bar.Add(1) }
		rows, err := e.Run(ctx)
		if err != nil {
			return err
		}
		if plots != "" {
			if err := experimenter.WritePlots(plots, rows); err != nil {
				return err
			}
		}
		if asJSON {
			enc := json.NewEncoder(stdout)
			enc.SetIndent("", "  ")
			return enc.Encode(experimenter.Summaries(rows))
		}
		return experimenter.WriteTable(stdout, rows)
	}
}
