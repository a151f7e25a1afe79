package forwarder

import (
	"bytes"
	"strconv"
)

// eventOrder checks that the ids of a stream's events increase, over all engines that send it. Ids that
// are no whole numbers are not compared.
type eventOrder struct {
	// last is the id of the newest event, if begun is set.
	last  uint64
	begun bool
	// unnumbered is set once an event had no id, or one that is no whole number.
	unnumbered bool
}

// accept records whole events, and reports whether they come after those before. If they don't, nothing is
// recorded.
func (o *eventOrder) accept(events []byte) bool {
	next := *o
	for !next.unnumbered && len(events) > 0 {
		event, rest, _ := bytes.Cut(events, eventEnd)
		events = rest
		id, err := strconv.ParseUint(lastID(event), 10, 64)
		if err != nil {
			next.unnumbered = true
			break
		}
		if next.begun && id <= next.last {
			return false
		}
		next.last, next.begun = id, true
	}
	*o = next
	return true
}
