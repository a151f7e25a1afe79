package forwarder

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"verbenareach/internal/event/logger"
	"verbenareach/internal/fleet/sender"
	"verbenareach/internal/wire/messenger"
)

// pausedError reports that all backend servers have asked this host for a pause.
type pausedError struct {
	// wait is the time until the first of the pauses ends.
	wait time.Duration
}

var _ refusal = &pausedError{}

// maxPause bounds the pause that a backend server may ask for.
const maxPause = time.Hour

// Error returns a text with the time until the first pause ends.
func (e *pausedError) Error() string {
	return fmt.Sprintf("all backend servers asked for a pause, for %v at least", e.wait.Round(time.Millisecond))
}

func (e *pausedError) retryAfter() time.Duration { return spreadRetry(e.wait) }

// recordPause records the pause that a backend server asks for in its answer to a request. received
// is when the answer came.
func (f *Forwarder) recordPause(received time.Time, x *exchange, b *messenger.Backend, resp *sender.Response) {
	if resp.Status != http.StatusServiceUnavailable {
		return
	}
	pause := parsePause(resp.Header.Values("Retry-After"))
	if pause > 0 && f.Tracker.Pause(b, received.Add(pause)) {
		f.Log.Emit(received, logger.BackendPaused, x.id, logger.F("backend", b.Id), logger.F("started", b.Started),
			logger.F("for", pause))
	}
}

// parsePause returns the longest of the pauses in the values of a field, in seconds with or without
// decimals, at most maxPause; 0 if there is none. Dates and other numbers are none.
func parsePause(values []string) (longest time.Duration) {
	for _, value := range values {
		text := strings.TrimSpace(value)
		if text == "" || strings.Trim(text, "0123456789.") != "" {
			continue
		}
		// A number that is too large is parsed as infinite, with an error.
		seconds, err := strconv.ParseFloat(text, 64)
		if err != nil && seconds == 0 {
			continue
		}
		longest = max(longest, time.Duration(min(seconds, maxPause.Seconds())*float64(time.Second)))
	}
	return longest
}
