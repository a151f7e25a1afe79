package spooler

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"
)

// output is an output that a test can hold up.
type output struct {
	mu    sync.Mutex
	lines []string
	held  chan struct{}
}

func (o *output) Write(p []byte) (int, error) {
	if o.held != nil {
		<-o.held
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.lines = append(o.lines, string(p))
	return len(p), nil
}

func TestLinesArriveInOrder(t *testing.T) {
	out := &output{}
	s := &Spooler{Out: out}
	stop, done := make(chan struct{}), make(chan struct{})
	go func() {
		s.Run(stop, time.Second)
		close(done)
	}()
	for i := range 100 {
		_, _ = fmt.Fprintf(s, "%d\n", i)
	}
	close(stop)
	<-done
	if len(out.lines) != 100 || out.lines[0] != "0\n" || out.lines[99] != "99\n" {
		t.Errorf("%d lines: %q ...", len(out.lines), out.lines[0])
	}
}

func TestReaderThatStopsReadingStallsNoWriter(t *testing.T) {
	out := &output{held: make(chan struct{})}
	s := &Spooler{Out: out, Lines: 10}
	stop, done := make(chan struct{}), make(chan struct{})
	go func() {
		s.Run(stop, 2*time.Second)
		close(done)
	}()
	written := make(chan struct{})
	go func() {
		for range 1000 {
			_, _ = s.Write([]byte("line\n"))
		}
		close(written)
	}()
	select {
	case <-written:
	case <-time.After(5 * time.Second):
		t.Fatal("writer waits for the reader")
	}
	if s.Dropped() < 900 {
		t.Errorf("%d lines dropped of 1000 with room for 10", s.Dropped())
	}
	close(out.held)
	close(stop)
	<-done
	if last := strings.Join(out.lines, ""); !strings.Contains(last, "log lines dropped") {
		t.Error("drops are not told")
	}
}
