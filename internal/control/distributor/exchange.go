package distributor

import (
	"errors"
	"io"

	"verbenareach/internal/wire/messenger"
)

// Exchange takes the loads that another control host passes on, until its stream ends.
func (d *Distributor) Exchange(stream messenger.DRPCControl_ExchangeStream) error {
	for {
		m, err := stream.Recv()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		d.mu.Lock()
		d.loads.postBatch(m.GetLoads())
		d.mu.Unlock()
	}
}
