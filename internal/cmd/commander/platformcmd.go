package commander

import (
	"io"

	"github.com/alecthomas/kingpin/v2"

	"verbenareach/platform"
)

// addPlatform adds the command that runs a host on the users' platform.
func addPlatform(app *kingpin.Application, run map[string]func() error, stdout io.Writer) {
	cmd := app.Command("platform", "Run a host on the users' platform with the settings file that the platform provides.")
	run[cmd.FullCommand()] = func() error {
		ctx, stop := untilSignal()
		defer stop()
		return platform.Run(ctx, stdout)
	}
}
