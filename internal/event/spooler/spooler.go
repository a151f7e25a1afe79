// Package spooler queues log lines for an output that may be slow or blocked: writers
// never wait, and dropped lines are counted and reported.
package spooler

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

// Spooler queues lines and writes them to Out. Its exported fields are set before Run.
type Spooler struct {
	// Out receives one Write for each line.
	Out io.Writer
	// Capacity is how many lines the queue holds at most; 0 means 4096.
	Capacity int

	once    sync.Once
	queue   chan []byte
	dropped atomic.Uint64
}

// defaultCapacity is the capacity if Capacity is 0: the log lines of a few seconds on a busy host.
const defaultCapacity = 4096

// Dropped returns the number of lines dropped so far.
func (s *Spooler) Dropped() uint64 { return s.dropped.Load() }

// Run writes queued lines until stop is closed, and then the rest of the queue for at
// most drainTimeout.
func (s *Spooler) Run(stop <-chan struct{}, drainTimeout time.Duration) {
	s.init()
	drained := make(chan struct{})
	go func() {
		defer close(drained)
		s.writeQueued(stop)
	}()
	<-stop
	select {
	case <-drained:
	case <-time.After(drainTimeout):
	}
}

// Write queues a line. It never blocks and never fails; if the queue is full, the line is dropped.
func (s *Spooler) Write(line []byte) (int, error) {
	s.init()
	select {
	case s.queue <- append([]byte(nil), line...):
	default:
		s.dropped.Add(1)
	}
	return len(line), nil
}

func (s *Spooler) init() {
	s.once.Do(func() {
		if s.Capacity == 0 {
			s.Capacity = defaultCapacity
		}
		s.queue = make(chan []byte, s.Capacity)
	})
}

// writeQueued writes lines until stop is closed and the queue is empty.
func (s *Spooler) writeQueued(stop <-chan struct{}) {
	reported := uint64(0)
	for {
		select {
		case line := <-s.queue:
			s.write(line)
		case <-stop:
			select {
			case line := <-s.queue:
				s.write(line)
			default:
				return
			}
		}
		if dropped := s.dropped.Load(); dropped != reported {
			reported = dropped
			s.write(fmt.Appendf(nil, "level=warn msg=\"log lines dropped\" total=%d\n", dropped))
		}
	}
}

// write writes one line. Errors are ignored, as there is no other output to report them to.
func (s *Spooler) write(line []byte) { _, _ = s.Out.Write(line) }
