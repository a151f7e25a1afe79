package responder

import (
	"cmp"
	"slices"

	"verbenareach/internal/control/registrar"
)

// sortContracts orders contracts by workspace.
func sortContracts(contracts []registrar.Contract) {
	slices.SortFunc(contracts, func(a, b registrar.Contract) int { return cmp.Compare(a.Workspace, b.Workspace) })
}
