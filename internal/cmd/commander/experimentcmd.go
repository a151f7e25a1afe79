package commander

import (
	"encoding/json"
	"io"

	"github.com/alecthomas/kingpin/v2"
	"github.com/schollz/progressbar/v3"

	"verbenareach/internal/experiment/experimenter"
)

func addExperiment(app *kingpin.Application, run map[string]func() error, stdout, stderr io.Writer) {
	cmd := app.Command("experiment", "Measure the policies for placing and admitting generations on modelled engines.")
	e := &experimenter.Experiment{}
	var asJSON bool
	var plots string
	cmd.Flag("seed", "Seed of a load; may be given again.").Default("1", "2", "3").Uint64ListVar(&e.Seeds)
	cmd.Flag("load", "Load to run; may be given again. All by default.").EnumsVar(&e.Loads, experimenter.LoadNames()...)
	cmd.Flag("time", "How long requests arrive.").Default(experimenter.DefaultTime.String()).DurationVar(&e.Time)
	cmd.Flag("json", "Print the rows as JSON.").BoolVar(&asJSON)
	cmd.Flag("plots", "Folder for plots, as SVG files.").ExistingDirVar(&plots)
	run[cmd.FullCommand()] = func() error {
		ctx, stop := untilSignal()
		defer stop()
		bar := progressbar.NewOptions(e.Runs(),
			progressbar.OptionSetWriter(stderr), progressbar.OptionClearOnFinish(),
			progressbar.OptionSetDescription("runs"))
		// A bar that can't be drawn is no failure of the experiment.
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
