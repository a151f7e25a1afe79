package commander

import (
	"fmt"
	"io"
	"os"

	"github.com/alecthomas/kingpin/v2"

	"verbenareach/internal/config/parser"
	"verbenareach/internal/engine/emulator"
	"verbenareach/internal/event/logger"
	"verbenareach/internal/role/runner"
)

func addStandalone(app *kingpin.Application, run map[string]func() error, stdout, stderr io.Writer) {
	cmd := app.Command("standalone", "Run a small complete system in one process, with stand-ins for engines and a service.")
	s := &runner.Standalone{Parameters: emulator.DefaultParameters()}
	cmd.Flag("host", "IP number of all listeners.").Default("127.0.0.1").StringVar(&s.Host)
	cmd.Flag("port", "Port of the first entry; the 89 ports after it are used too.").Default("8080").IntVar(&s.BasePort)
	cmd.Flag("data", "Folder of the control host's files.").Default("verbenareach-data").StringVar(&s.DataFolder)
	cmd.Flag("entries", "Number of entries, 1 to 10.").Default("1").IntVar(&s.Entries)
	cmd.Flag("engines", "Number of stand-in engines, 1 to 10.").Default("2").IntVar(&s.Engines)
	cmd.Flag("services", "Number of stand-in services.").Default("1").IntVar(&s.Services)
	run[cmd.FullCommand()] = func() error {
		if err := os.MkdirAll(s.DataFolder, 0o750); err != nil {
			return err
		}
		ctx, stop := untilSignal()
		defer stop()
		s.Log = func(settings parser.Settings) *logger.Logger { return runner.NewLogger(settings, stderr) }
		fmt.Fprintf(stdout, "callers:   http://%s with the key %s and the model %s\n", s.EntryAddress(0), runner.DemoKey, runner.DemoModel)
		fmt.Fprintf(stdout, "operators: http://%s with the key %s\n", s.OperatorAddress(), runner.DemoOperatorKey)
		return s.Run(ctx)
	}
}
