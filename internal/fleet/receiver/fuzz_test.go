package receiver

import (
	"bufio"
	"bytes"
	"testing"
)

func FuzzReadRequest(f *testing.F) {
	f.Add([]byte("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nxyz"))
	f.Add([]byte("POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nxy\r\n0\r\nA: b\r\n\r\n"))
	f.Add([]byte("GET /a HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n"))
	const headerBytes, bodyBytes = 1024, 64
	f.Fuzz(func(t *testing.T, data []byte) {
		br := bufio.NewReader(bytes.NewReader(data))
		r, err := readHeader(br, headerBytes)
		if err != nil {
			return
		}
		if err := r.readBody(br, bodyBytes, (&Receiver{}).newBodyMemory(Limits{})); err == nil && len(r.Body) > bodyBytes {
			t.Errorf("a body of %d bytes is accepted", len(r.Body))
		}
	})
}
