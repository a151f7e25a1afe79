package connector

import (
	"bufio"
	"bytes"
	"io"
	"testing"
)

// BenchmarkNext reads tokens that are all available at once.
func BenchmarkNext(b *testing.B) {
	event := []byte(`data: {"id":"cmpl-1","object":"chat.completion.chunk","created":1796365485,"model":"rota-large","choices":[{"index":0,"delta":{"content":" dripaki"},"finish_reason":null}]}` + "\n\n")
	events := bytes.Repeat(event, 1000)
	source := bytes.NewReader(events)
	s := &Stream{body: io.NopCloser(source), reader: bufio.NewReaderSize(source, readBufferBytes)}
	b.ReportAllocs()
	left := 0
	for b.Loop() {
		if left == 0 {
			source.Reset(events)
			s.reader.Reset(source)
			left = 1000
		}
		left--
		if token, err := s.Next(); err != nil || token.Text != " dripaki" {
			b.Fatalf("%+v, %v", token, err)
		}
	}
}
