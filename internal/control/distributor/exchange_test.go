package distributor

import (
	"context"
	"errors"
	"testing"
	"time"

	"storj.io/drpc"

	"verbenareach/internal/wire/messenger"
)

// silentStream takes all that is sent and receives answers only for the first few.
type silentStream struct {
	drpc.Stream
	ctx     context.Context
	answers chan struct{}
}

func (s *silentStream) Send(*messenger.ExchangeUp) error { return nil }

func (s *silentStream) CloseSend() error { return nil }

func (s *silentStream) Recv() (*messenger.ExchangeDown, error) {
	select {
	case <-s.answers:
		return &messenger.ExchangeDown{}, nil
	case <-s.ctx.Done():
		return nil, s.ctx.Err()
	}
}

func TestLoadsAreSentIntoASilentStreamForGood(t *testing.T) {
	d := &Distributor{Host: "c-1", LoadsEvery: 2 * time.Millisecond}
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	stop := make(chan struct{})
	defer close(stop)
	go func() {
		for load := uint32(1); ; load++ {
			d.mu.Lock()
			d.loads.set(7, load, true)
			d.mu.Unlock()
			select {
			case <-stop:
				return
			case <-time.After(time.Millisecond):
			}
		}
	}()
	s := &silentStream{ctx: ctx, answers: make(chan struct{}, 3)}
	for range cap(s.answers) {
		s.answers <- struct{}{}
	}
	begun := time.Now()
	err := d.SendLoads(ctx, s)
	if took := time.Since(begun); !errors.Is(err, errNoAnswer) || took > 2*time.Second {
		t.Errorf("loads were sent into a silent stream for %v, until %v", took, err)
	}
}
