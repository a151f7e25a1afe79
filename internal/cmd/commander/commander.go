// Package commander implements the command line.
package commander

import (
	"fmt"
	"io"

	"github.com/alecthomas/kingpin/v2"
)

// Exit codes of all commands.
const (
	exitOK      = 0
	exitFailure = 1
	exitUsage   = 2
)

// Main runs the command given by args and returns the exit code.
func Main(args []string, stdout, stderr io.Writer) int {
	app := kingpin.New("verbenareach", "Serves model generations of unknown length on crowded engines.")
	app.UsageWriter(stdout)
	app.ErrorWriter(stderr)
	helpShown := false
	app.Terminate(func(int) { helpShown = true })
	run := make(map[string]func() error)
	addRole(app, run, stderr, "entry", "Run an entry, which serves callers.")
	addRole(app, run, stderr, "agent", "Run an agent, which handles all requests to its backend server.")
	addControl(app, run, stdout, stderr)
	addStandalone(app, run, stdout, stderr)
	addSettings(app, run, stdout)
	addVersion(app, run, stdout)
	standIn := standInCommand(app)
	addStandInEngine(standIn, run, stderr)
	addStandInService(standIn, run, stderr)
	addContract(app, run, stdout)
	addServer(app, run, stdout, stderr)
	addExperiment(app, run, stdout, stderr)
	addExplain(app, run, stdout)
	addReplay(app, run, stdout, stderr)
	addReport(app, run, stdout)
	addPlatform(app, run, stdout)
	selected, err := app.Parse(args)
	if helpShown {
		// Help was requested: errors about missing arguments don't matter.
		return exitOK
	}
	if err != nil {
		fmt.Fprintf(stderr, "verbenareach: %v\n", err)
		return exitUsage
	}
	command, ok := run[selected]
	if !ok {
		return exitOK
	}
	if err := command(); err != nil {
		fmt.Fprintf(stderr, "verbenareach: %v\n", err)
		return exitCode(err)
	}
	return exitOK
}
