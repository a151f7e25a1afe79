package emulator

import (
	"sync"
)

// stream passes a request's token indexes from the step loop to the HTTP handler.
type stream struct {
	// more holds one element after a put, until the reader receives it.
	more chan struct{}

	mu      sync.Mutex
	pending []int
	last    bool
}

func newStream() *stream {
	return &stream{more: make(chan struct{}, 1)}
}

// put adds token indexes; last ends the stream.
func (st *stream) put(last bool, indexes ...int) {
	st.mu.Lock()
	st.pending = append(st.pending, indexes...)
	st.last = st.last || last
	st.mu.Unlock()
	select {
	case st.more <- struct{}{}:
	default:
	}
}

// take returns the indexes put since the last call and whether the stream has ended.
// The stream reuses buf for the next ones.
func (st *stream) take(buf []int) (indexes []int, last bool) {
	st.mu.Lock()
	defer st.mu.Unlock()
	indexes = st.pending
	st.pending = buf[:0]
	return indexes, st.last
}

// deliver puts tokens into their streams and applies the repeat and skip faults.
func (s *Server) deliver(tokens []Token) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, t := range tokens {
		st := s.streams[t.ID]
		if st == nil {
			continue
		}
		switch {
		case s.faults.consume(&s.faults.repeat):
			st.put(t.Last, t.Index, t.Index)
		case s.faults.consume(&s.faults.skip):
			st.put(t.Last)
		default:
			st.put(t.Last, t.Index)
		}
		if t.Last {
			delete(s.streams, t.ID)
		}
	}
}
