package commander

import (
	"github.com/alecthomas/kingpin/v2"
)

// standInCommand returns the group of the stand-ins for outside systems.
func standInCommand(app *kingpin.Application) *kingpin.CmdClause {
	return app.Command("standin", "Run a stand-in for an outside system, for trials and tests.")
}
