package commander

import (
	"context"
	"errors"
	"fmt"
	"io"

	"github.com/alecthomas/kingpin/v2"
)

func addExplain(app *kingpin.Application, run map[string]func() error, stdout io.Writer) {
	cmd := app.Command("explain", "Show what happened to a generation, call or refused request, from the records that all processes keep for an hour.")
	flags := addOperatorFlags(cmd)
	id := cmd.Arg("ID", "Id of the generation (X-Generation-Id, or an event's id up to @) or request (X-Request-Id).").Required().String()
	run[cmd.FullCommand()] = func() error {
		c, err := flags.requester()
		if err != nil {
			return err
		}
		timeline, err := c.Explain(context.Background(), *id)
		if err != nil {
			return err
		}
		var unknown error
		if len(timeline.Steps) == 0 {
			unknown = fmt.Errorf("no process has a record of %s: check the id, and whether it is older than an hour", *id)
		}
		if flags.asJSON {
			return errors.Join(printJSON(stdout, timeline), unknown)
		}
		return errors.Join(timeline.Print(stdout), unknown)
	}
}
