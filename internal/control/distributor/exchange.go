package distributor

import (
	"context"
	"errors"
	"io"

	"github.com/rotisserie/eris"

	"verbenareach/internal/wire/messenger"
)

// Exchange receives the loads that another control host forwards, until its stream
// ends.
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
	}
}

// SendLoads forwards the changed loads of the agents that follow this host over
// stream, until ctx ends or the stream fails.
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
	}
	return eris.Wrap(stream.CloseSend(), "end loads")
}
