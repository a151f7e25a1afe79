package runner

import (
	"context"
	"errors"
	"testing"
	"time"

	"verbenareach/internal/wire/messenger"
)

// A hub that knows no leader, or does not answer, must not use up the time in which the others would answer.
func TestHubWithoutALeaderKeepsTheOthersFromBeingAsked(t *testing.T) {
	t.Parallel()
	hubs := []*messenger.FleetHost{{Name: "near"}, {Name: "far"}, {Name: "farthest"}}
	refuse := func(context.Context) (hubAnswer, error) { return hubAnswer{}, errors.New("no leader") }
	hang := func(ctx context.Context) (hubAnswer, error) {
		<-ctx.Done()
		return hubAnswer{}, ctx.Err()
	}
	answer := func(context.Context) (hubAnswer, error) { return hubAnswer{version: 7}, nil }
	tests := []struct {
		name    string
		answers map[string]func(context.Context) (hubAnswer, error)
		want    uint64
		within  time.Duration
	}{
		{"the first answers", map[string]func(context.Context) (hubAnswer, error){"near": answer, "far": hang, "farthest": hang}, 7, nextHubDelay},
		{"the first hangs", map[string]func(context.Context) (hubAnswer, error){"near": hang, "far": answer, "farthest": hang}, 7, 2 * nextHubDelay},
		{"two hang", map[string]func(context.Context) (hubAnswer, error){"near": hang, "far": hang, "farthest": answer}, 7, callHubTimeout},
		{"two refuse", map[string]func(context.Context) (hubAnswer, error){"near": refuse, "far": refuse, "farthest": answer}, 7, nextHubDelay},
		{"all refuse", map[string]func(context.Context) (hubAnswer, error){"near": refuse, "far": refuse, "farthest": refuse}, 0, nextHubDelay},
		{"all hang", map[string]func(context.Context) (hubAnswer, error){"near": hang, "far": hang, "farthest": hang}, 0, 2 * callHubTimeout},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			ctx, cancel := context.WithTimeout(t.Context(), callHubTimeout)
			defer cancel()
			begun := time.Now()
			got, err := askHubs(ctx, hubs, func(ctx context.Context, hub *messenger.FleetHost) (hubAnswer, error) {
				return tt.answers[hub.Name](ctx)
			})
			if got.version != tt.want || (err == nil) != (tt.want > 0) {
				t.Errorf("version %d, %v, want version %d", got.version, err, tt.want)
			}
			if took := time.Since(begun); took > tt.within {
				t.Errorf("took %v, more than %v", took, tt.within)
			}
		})
	}
}
