package reporter

import (
	"encoding/binary"
	"time"

	"google.golang.org/protobuf/proto"

	"verbenareach/internal/wire/messenger"
)

type (
	// window is a span of time that is kept as slots of equal length.
	window struct {
		slotLength time.Duration
		// slots is how many complete slots the span has; the current slot is kept in addition.
		slots int64
	}

	// ring holds the slots of one window of one series, oldest first, each as
	// its number, its length in bytes, and a marshalled BurnSlot. The encoding
	// is compact because there may be hundreds of thousands of rings.
	ring struct {
		data []byte
	}
)

// windows are the windows of the report, shortest first. A minute that ends
// becomes a slot of the first window and is added to the current slot of the others.
var windows = [...]window{
	{slotLength: time.Minute, slots: 5},
	{slotLength: 10 * time.Minute, slots: 6},
	{slotLength: time.Hour, slots: 6},
	{slotLength: 12 * time.Hour, slots: 6},
}

// Windows returns the lengths of the report's windows, shortest first.
func Windows() []time.Duration {
	lengths := make([]time.Duration, 0, len(windows))
	for _, w := range windows {
		lengths = append(lengths, w.length())
	}
	return lengths
}

func (w window) length() time.Duration {
	return w.slotLength * time.Duration(w.slots)
}

// slotNumber returns the number of the slot that contains the minute.
func (w window) slotNumber(minute int64) int64 {
	return minute / int64(w.slotLength/time.Minute)
}

// add adds from to the slot with the given number, which is the newest, and drops
// the slots that the window no longer covers.
func (g *ring) add(w window, number int64, from *messenger.BurnSlot) {
	sum := from
	kept := make([]byte, 0, len(g.data)+64)
	g.each(func(n int64, payload []byte) {
		switch {
		case n < number-w.slots:
			return
		case n == number:
			sum = &messenger.BurnSlot{}
			unmarshalSlot(payload, sum)
			AddSlot(sum, from)
			return
		}
		kept = appendSlot(kept, n, payload)
	})
	payload, err := proto.Marshal(sum)
	if err != nil {
		// A slot has only numeric fields, which can always be marshalled.
		return
	}
	kept = appendSlot(kept, number, payload)
	g.data = append(make([]byte, 0, len(kept)), kept...)
}

// each calls f for each slot, oldest first.
func (g *ring) each(f func(number int64, payload []byte)) {
	data := g.data
	for len(data) > 0 {
		number, n := binary.Uvarint(data)
		data = data[n:]
		length, n := binary.Uvarint(data)
		data = data[n:]
		f(int64(number), data[:length])
		data = data[length:]
	}
}

// addTo adds to sum the slots that the window covers if its current slot is number.
func (g *ring) addTo(w window, number int64, sum *messenger.BurnSlot) {
	g.each(func(n int64, payload []byte) {
		if n >= number-w.slots {
			s := &messenger.BurnSlot{}
			unmarshalSlot(payload, s)
			AddSlot(sum, s)
		}
	})
}

func appendSlot(data []byte, number int64, payload []byte) []byte {
	data = binary.AppendUvarint(data, uint64(number))
	data = binary.AppendUvarint(data, uint64(len(payload)))
	return append(data, payload...)
}

// unmarshalSlot decodes a slot that add marshalled in this process.
func unmarshalSlot(payload []byte, s *messenger.BurnSlot) {
	if err := proto.Unmarshal(payload, s); err != nil {
		proto.Reset(s)
	}
}
