package distributor

import (
	"context"
	"errors"
	"io"
	"time"

	"github.com/rotisserie/eris"

	"verbenareach/internal/wire/messenger"
)

// answerTimeout bounds the wait for the answer to forwarded loads.
const answerTimeout = time.Second

var errNoAnswer = eris.New("no answer to forwarded loads")

// Exchange receives the loads that another control host forwards, and answers each batch, until
// its stream ends.
func (d *Distributor) Exchange(stream messenger.DRPCControl_ExchangeStream) error {
	for {
		m, err := stream.Recv()
		if errors.Is(err, io.EOF) || errors.Is(err, context.Canceled) {
			return nil
		}
		if err != nil {
			return err
		}
		d.mu.Lock()
		d.loads.setBatch(m.GetLoads())
		d.mu.Unlock()
		if err := stream.Send(&messenger.ExchangeDown{}); err != nil {
			return err
		}
	}
}

// SendLoads forwards the changed loads of the agents that follow this host over
// stream, until ctx ends or the stream fails. Each batch waits for the answer to the one before, so
// a silent stream fails within answerTimeout. The caller then ends the stream.
func (d *Distributor) SendLoads(ctx context.Context, stream messenger.DRPCControl_ExchangeClient) error {
	sent := uint64(0)
	for sleep(ctx, d.loadsEvery()/2) {
		d.mu.Lock()
		batch := d.loads.batch(sent, true)
		sent = d.loads.sequence
		d.mu.Unlock()
		if batch == nil {
			continue
		}
		if err := stream.Send(&messenger.ExchangeUp{Host: d.Host, Loads: batch}); err != nil {
			return eris.Wrap(err, "send loads")
		}
		if err := awaitAnswer(ctx, stream); err != nil {
			return err
		}
	}
	return eris.Wrap(stream.CloseSend(), "end loads")
}

// awaitAnswer waits for the answer to a batch. If there is none in time, a goroutine goes on to wait
// until the stream ends.
func awaitAnswer(ctx context.Context, stream messenger.DRPCControl_ExchangeClient) error {
	answered := make(chan error, 1)
	go func() {
		_, err := stream.Recv()
		answered <- err
	}()
	timeout := time.NewTimer(answerTimeout)
	defer timeout.Stop()
	select {
	case err := <-answered:
		return eris.Wrap(err, "answer to loads")
	case <-timeout.C:
		return errNoAnswer
	case <-ctx.Done():
		return ctx.Err()
	}
}
