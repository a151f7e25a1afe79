package commander

import (
	"context"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kingpin/v2"
	"github.com/charmbracelet/log"
	"github.com/rotisserie/eris"

	"verbenareach/internal/config/parser"
	"verbenareach/internal/control/controller"
	"verbenareach/internal/event/logger"
)

func addControl(app *kingpin.Application, run map[string]func() error, stderr io.Writer) {
	cmd := app.Command("control", "Run a control host, which keeps contracts, marks and claims.")
	path := cmd.Flag("settings", "Settings file in JSON.").Required().ExistingFile()
	run[cmd.FullCommand()] = func() error {
		s, err := parser.ParseFile(*path)
		if err != nil {
			return err
		}
		if s.Control == nil {
			return eris.Errorf("%s: /control: settings of a control host are missing", *path)
		}
		ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
		defer stop()
		c := &controller.Controller{
			Name: s.Name, Settings: *s.Control, Log: &logger.Logger{Out: log.NewWithOptions(stderr, log.Options{ReportTimestamp: true})},
		}
		return c.Run(ctx)
	}
}
