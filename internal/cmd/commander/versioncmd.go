package commander

import (
	"fmt"
	"io"

	"github.com/alecthomas/kingpin/v2"
)

// Version is the released version of the program.
const Version = "0.1.0"

func addVersion(app *kingpin.Application, run map[string]func() error, stdout io.Writer) {
	cmd := app.Command("version", "Print the version.")
	run[cmd.FullCommand()] = func() error {
		_, err := fmt.Fprintln(stdout, "verbenareach", Version)
		return err
	}
}
