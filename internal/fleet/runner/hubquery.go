package runner

import (
	"context"
	"errors"
	"time"

	"verbenareach/internal/wire/messenger"
)

type (
	// hubAnswer is what a hub answered about the configuration: the version and, if the host does
	// not have it, the configuration itself.
	hubAnswer struct {
		version uint64
		packed  []byte
	}

	// hubQuery asks one hub. An error means that the hub has no answer.
	hubQuery func(ctx context.Context, hub *messenger.FleetHost) (hubAnswer, error)

	hubResult struct {
		answer hubAnswer
		err    error
	}
)

// nextHubDelay is how long a hub may take to answer before the next one is asked as well. It is well
// above the time for a commit and lets three hubs be asked within callHubTimeout.
const nextHubDelay = 250 * time.Millisecond

// askHubs asks hubs in their order and returns the first answer. The next hub is asked once one has
// no answer, or has taken nextHubDelay: a hub that finds no leader, or does not answer at all, leaves
// time for the others. It returns ErrNoQuorum if no hub answers before ctx ends.
func askHubs(ctx context.Context, hubs []*messenger.FleetHost, query hubQuery) (hubAnswer, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan hubResult, len(hubs))
	asking := 0
	for asking > 0 || len(hubs) > 0 {
		var next <-chan time.Time
		if len(hubs) > 0 {
			hub := hubs[0]
			hubs = hubs[1:]
			asking++
			go func() {
				answer, err := query(ctx, hub)
				results <- hubResult{answer: answer, err: err}
			}()
		}
		if len(hubs) > 0 {
			next = time.After(nextHubDelay)
		}
		select {
		case r := <-results:
			asking--
			if r.err == nil {
				return r.answer, nil
			}
		case <-next:
		case <-ctx.Done():
			return hubAnswer{}, ErrNoQuorum
		}
	}
	return hubAnswer{}, ErrNoQuorum
}

// replyError returns the error of a call or, if there is none, the one that the reply tells; nil if text is
// empty too.
func replyError(err error, text string) error {
	if err != nil || text == "" {
		return err
	}
	return errors.New(text)
}
