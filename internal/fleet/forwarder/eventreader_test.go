package forwarder

import (
	"errors"
	"io"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"verbenareach/internal/fleet/sender"
)

// endlessBody repeats a text without end and counts the bytes that were read.
type endlessBody struct {
	text string
	read atomic.Int64
}

func (b *endlessBody) Read(p []byte) (int, error) {
	at := int(b.read.Load()) % len(b.text)
	n := copy(p, b.text[at:])
	b.read.Add(int64(n))
	return n, nil
}

// An engine may send events without end to a client that does not read.
func TestEventsThatNobodyReadsFillTheMemory(t *testing.T) {
	const most = 512 << 10
	for name, length := range map[string]int{"small events": 100, "large events": 100 << 10} {
		t.Run(name, func(t *testing.T) {
			body := &endlessBody{text: "data: " + strings.Repeat("a", length) + "\n\n"}
			events, stop := readEvents(&sender.Response{Body: body})
			last := int64(-1)
			for end := time.Now().Add(10 * time.Second); body.read.Load() != last && time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
				last = body.read.Load()
			}
			if got := body.read.Load(); got > most {
				t.Errorf("%d KiB of the stream were read", got>>10)
			}
			stop()
			for range events {
				continue
			}
		})
	}
}

// All events arrive, also those that are larger than what may be pending.
func TestEventsArriveWhole(t *testing.T) {
	var text strings.Builder
	for i := range 400 {
		text.WriteString("data: " + strings.Repeat("a", i*i%(100<<10)) + "\n\n")
	}
	events, stop := readEvents(&sender.Response{Body: strings.NewReader(text.String())})
	defer stop()
	var got strings.Builder
	for b := range events {
		got.Write(b.bytes)
		b.written()
		if b.err != nil && !errors.Is(b.err, io.EOF) {
			t.Errorf("the stream ended with %v", b.err)
		}
	}
	if got.String() != text.String() {
		t.Errorf("%d of %d bytes arrived", got.Len(), text.Len())
	}
}
