package reporter

import (
	"encoding/binary"
	"time"

	"google.golang.org/protobuf/proto"

	"verbenareach/internal/wire/messenger"
)

type (
	// window says how a time span is kept: as slots of one length.
	window struct {
		slot time.Duration
		// slots is how many whole slots the span has; the running one comes on top.
		slots int64
	}

	// ring holds the slots of one window of one series, oldest first, each as
	// its number, its length in bytes, and a marshalled BurnSlot. The form is
	// dense since there may be hundreds of thousands of rings.
	ring struct {
		data []byte
	}
)

// windows of the report, shortest first. The first one's slots are closed as
// they end; the others' running slots are added to at the same moment.
var windows = [...]window{
	{slot: time.Minute, slots: 5},
	{slot: 10 * time.Minute, slots: 6},
	{slot: time.Hour, slots: 6},
	{slot: 12 * time.Hour, slots: 6},
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
	return w.slot * time.Duration(w.slots)
}

// number returns the number of the slot that holds the minute.
func (w window) number(minute int64) int64 {
	return minute / int64(w.slot/time.Minute)
}

// add adds from to the slot of the given number, which is the newest, and drops
// the slots that the window no longer holds.
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
		// A slot holds numbers only, which always marshal.
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

// sum adds to sum the slots that the window holds while number is the running one.
func (g *ring) sum(w window, number int64, sum *messenger.BurnSlot) {
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

// unmarshalSlot reads what add has marshalled in this process.
func unmarshalSlot(payload []byte, s *messenger.BurnSlot) {
	if err := proto.Unmarshal(payload, s); err != nil {
		proto.Reset(s)
	}
}
