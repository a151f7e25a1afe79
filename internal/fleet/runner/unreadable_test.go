package runner

import (
	"errors"
	"testing"

	"verbenareach/internal/fleet/linker"
	"verbenareach/internal/wire/messenger"
)

func TestEvacuationOfAnUnreadableNameIsWorthTryingAgain(t *testing.T) {
	h := &Runner{linker: &linker.Linker{Self: &messenger.FleetHost{Name: "host"}}}
	err := h.Evacuate(t.Context(), "zone-\xff", false)
	if unknown := new(UnknownDomainError); !errors.As(err, &unknown) {
		t.Errorf("got %v, want that no failure domain has this name", err)
	}
}
