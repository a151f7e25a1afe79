package forwarder

import (
	"bytes"
	"testing"
)

func FuzzEventReader(f *testing.F) {
	f.Add([]byte("id: 1\ndata: a\n\nid: 2\ndata: b\n\n"))
	f.Add([]byte("\n\n\n\nid:\n\ndata\nid: 3"))
	f.Fuzz(func(t *testing.T, stream []byte) {
		r := &eventReader{body: bytes.NewReader(stream)}
		var whole []byte
		for {
			b := r.next()
			if b.err != nil {
				break
			}
			whole = append(whole, b.bytes...)
		}
		if !bytes.HasPrefix(stream, whole) {
			t.Errorf("events %q are no part of %q", whole, stream)
		}
	})
}
