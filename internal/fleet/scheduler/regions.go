package scheduler

import (
	"verbenareach/internal/fleet/cataloger"
	"verbenareach/internal/wire/messenger"
)

// allows reports whether the engine is in a region in which a request may run.
func (b *backend) allows(req *messenger.PlaceRequest) bool {
	return cataloger.IsWithin(b.region, req.Regions)
}
