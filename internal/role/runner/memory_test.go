package runner

import (
	"fmt"
	"testing"

	"golang.org/x/sync/errgroup"

	"verbenareach/internal/engine/emulator"
)

// TestMemoryRunsShort requests several times as many tokens at once as fit into the
// engines' memory: generations are queued or preempted, and all are delivered whole.
func TestMemoryRunsShort(t *testing.T) {
	parameters := emulator.DefaultParameters()
	parameters.MemoryTokens = 1200
	parameters.LoadLag = 0
	s := startSystemWith(t, testHost(3), parameters, 1, 2, 0)
	const generations, length = 10, 500
	want := s.expected(length)
	var g errgroup.Group
	for range generations {
		g.Go(func() error {
			resp := s.open(length)
			defer resp.Body.Close()
			got, _, whole := readTokens(t, newEventReader(resp.Body), 0)
			if !whole || fmt.Sprint(got) != fmt.Sprint(want) {
				return fmt.Errorf("%d tokens, whole %v", len(got), whole)
			}
			return nil
		})
	}
	if err := g.Wait(); err != nil {
		t.Error(err)
	}
}
