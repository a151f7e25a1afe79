package commander

import (
	"github.com/alecthomas/kingpin/v2"
)

// standInCommand adds and returns the parent of the stand-in commands.
func standInCommand(app *kingpin.Application) *kingpin.CmdClause {
	return app.Command("standin", "Run a stand-in for an external system, for trials and tests.")
}
