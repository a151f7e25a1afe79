package receiver

import (
	"io"
	"net/http"
	"sync/atomic"
)

type (
	// bodyMemory is what the body of one request takes of the memory for the bodies of all.
	bodyMemory struct {
		// all counts what all bodies take, which may be total at most.
		all   *atomic.Int64
		total int64
		// free is how many more bytes are not counted, held how many are.
		free, held int64
	}

	// meteredReader reads a body and takes the memory for what it reads.
	meteredReader struct {
		r      io.Reader
		memory *bodyMemory
	}
)

// freeBodyBytes is the part of each body that is not counted.
const freeBodyBytes = 64 << 10

var _ io.Reader = &meteredReader{}

// errBusy is returned for a body for which there is no memory.
var errBusy = &requestError{http.StatusServiceUnavailable, "bodies of other requests take the memory"}

// take takes memory for n bytes. It reports whether there is enough.
func (m *bodyMemory) take(n int64) bool {
	free := min(n, m.free)
	m.free -= free
	n -= free
	if m.all.Add(n) > m.total {
		m.all.Add(-n)
		return false
	}
	m.held += n
	return true
}

// release gives back what the body took.
func (m *bodyMemory) release() {
	m.all.Add(-m.held)
	m.held = 0
}

// Read reads from the body. Without memory for it the error is errBusy.
func (m *meteredReader) Read(p []byte) (int, error) {
	n, err := m.r.Read(p)
	if !m.memory.take(int64(n)) {
		return 0, errBusy
	}
	return n, err
}
