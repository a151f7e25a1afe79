package commander

import (
	"context"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kingpin/v2"
	"github.com/rotisserie/eris"

	"verbenareach/internal/config/parser"
	"verbenareach/internal/role/runner"
)

// addRole adds the command that runs a role in a process of its own.
func addRole(app *kingpin.Application, run map[string]func() error, stderr io.Writer, role, help string) {
	addRoleTo(app.Command(role, help), run, stderr, role)
}

// addRoleTo makes cmd the command that runs a role.
func addRoleTo(cmd *kingpin.CmdClause, run map[string]func() error, stderr io.Writer, role string) {
	path := cmd.Flag("settings", "Settings file in JSON.").Required().PlaceHolder("FILE").String()
	run[cmd.FullCommand()] = func() error {
		s, err := parser.ParseFile(*path)
		if err != nil {
			return err
		}
		if s.Role != role {
			return &exitError{code: exitUsage, err: eris.Errorf("%s: /role: is %q, but the command is %s", *path, s.Role, role)}
		}
		ctx, stop := untilSignal()
		defer stop()
		return runner.Run(ctx, s, runner.NewLogger(s, stderr))
	}
}

// untilSignal returns a context that ends at the first SIGTERM or interrupt. Further
// signals are ignored until stop is called, so that they don't abort work in progress.
func untilSignal() (ctx context.Context, stop context.CancelFunc) {
	return signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
}
