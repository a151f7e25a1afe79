package commander

import (
	"context"
	"io"
	"os"

	"github.com/alecthomas/kingpin/v2"
	"github.com/rotisserie/eris"

	"verbenareach/internal/report/printer"
)

// pageMode is the file mode of the HTML page. Only its owner may read it, as it
// shows data of workspaces.
const pageMode = 0o600

func addReport(app *kingpin.Application, run map[string]func() error, stdout io.Writer) {
	cmd := app.Command("report", "Show the service-level burn of workspaces and models over 5 minutes, 1 hour, 6 hours and 3 days.")
	flags := addOperatorFlags(cmd)
	workspace := cmd.Flag("workspace", "Show only this workspace; by default all are shown, fastest burn first.").String()
	model := cmd.Flag("model", "Show only this model, or service/NAME.").String()
	page := cmd.Flag("html", "Write a self-contained HTML page with plots to this file.").PlaceHolder("FILE").String()
	run[cmd.FullCommand()] = func() error {
		c, err := flags.requester()
		if err != nil {
			return err
		}
		if *page != "" {
			data, err := c.ReportPage(context.Background(), *workspace, *model)
			if err != nil {
				return err
			}
			return eris.Wrap(os.WriteFile(*page, data, pageMode), "write page")
		}
		report, err := c.Report(context.Background(), *workspace, *model)
		if err != nil {
			return err
		}
		if flags.asJSON {
			return printJSON(stdout, report)
		}
		return printer.Print(stdout, report)
	}
}
