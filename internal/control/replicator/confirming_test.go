package replicator

import (
	"context"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"verbenareach/internal/wire/messenger"
)

// A read whose leader does not answer must not look like one without a leader.
func TestReadThatGetsNoAnswerSaysThatNoLeaderIsKnown(t *testing.T) {
	t.Parallel()
	var hangs atomic.Bool
	hosts := newTCPClusterWith(t, 0, func(r *Replicator) {
		ask := r.Ask
		r.Ask = func(ctx context.Context, address string, req *messenger.PeerRequest) (*messenger.PeerReply, error) {
			if hangs.Load() {
				<-ctx.Done()
				return nil, ctx.Err()
			}
			return ask(ctx, address, req)
		}
	})
	leads := awaitTCPLeader(t, hosts, startWithin)
	awaitTCPCommit(t, hosts, time.Now())
	hangs.Store(true)
	ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
	defer cancel()
	_, err := hosts[(leads+1)%len(hosts)].Confirm(ctx)
	if err == nil || strings.Contains(err.Error(), "no leader is known") || !strings.Contains(err.Error(), hosts[leads].Address) {
		t.Errorf("the read ended with %v, want the address of the leader that did not answer", err)
	}
}
