package replicator

import (
	"context"
	"sync"
	"testing"
	"time"
)

const (
	// bytesPerMbit converts Mbit to bytes. A proxy forwards linkChunkBytes at a time.
	bytesPerMbit   = 1_000_000 / 8
	linkChunkBytes = 8 << 10
	// linkBufferBytes bounds what a slow link holds in the kernel's buffers of the proxy.
	linkBufferBytes = 64 << 10
	// largestConfig is the largest configuration that an operator can send, in bytes.
	largestConfig = 1 << 20
)

// A stream over which a large configuration is on its way must not be given up as silent.
func TestLargeEntriesOverSlowLinksGiveNoStreamUp(t *testing.T) {
	t.Parallel()
	tests := []struct {
		name  string
		mbits int
		count int
	}{
		{"one at 100 Mbit a second", 100, 1},
		{"one at 23 Mbit a second", 23, 1},
		{"two at 23 Mbit a second", 23, 2},
		{"one at 16 Mbit a second", 16, 1},
		{"one at 13 Mbit a second", 13, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			hosts := newTCPClusterWith(t, tt.mbits*bytesPerMbit, func(*Replicator) {})
			leads := hosts[awaitTCPLeader(t, hosts, startWithin)]
			time.Sleep(2 * time.Second)
			ctx, cancel := context.WithTimeout(t.Context(), 15*time.Second)
			defer cancel()
			begun := time.Now()
			var wg sync.WaitGroup
			for range tt.count {
				wg.Go(func() {
					if _, _, err := leads.Propose(ctx, make([]byte, largestConfig)); err != nil {
						t.Errorf("entry is not committed after %v: %v", time.Since(begun), err)
					}
				})
			}
			wg.Wait()
			t.Logf("committed after %v", time.Since(begun))
			time.Sleep(2 * time.Second)
			for _, h := range hosts {
				if n := h.givenUp.Load(); n > 0 {
					t.Errorf("%s gave up %d streams that were not silent", h.Name, n)
				}
			}
		})
	}
}
