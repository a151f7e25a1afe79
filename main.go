// Verbenareach serves model generations of unknown length to the callers of many
// workspaces, from engines that are drained for cleaning every week.
package main

import (
	"os"

	"verbenareach/internal/cmd/commander"
)

func main() {
	os.Exit(commander.Main(os.Args[1:], os.Stdout, os.Stderr))
}
