package forwarder

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"verbenareach/internal/wire/messenger"
)

// retryAfterRegions is sent to clients whose request no region may serve: only a change of the
// configuration or the arrival of backend servers helps.
const retryAfterRegions = 5 * time.Second

// regionsError reports that no backend server in the regions that may serve a request is ready.
type regionsError struct {
	regions []string
}

var _ refusal = &regionsError{}

// Error returns a text with the regions.
func (e *regionsError) Error() string {
	return fmt.Sprintf("no backend server is ready in the regions that may serve the request: %s", strings.Join(e.regions, ", "))
}

func (e *regionsError) retryAfter() time.Duration { return retryAfterBusy }

// admitRegions reports whether any region may serve a request. If none may, it answers the request.
func (f *Forwarder) admitRegions(x *exchange) bool {
	if x.isBound && len(x.regions) == 0 {
		f.refuse(x, http.StatusServiceUnavailable, "no region may serve the request", retryAfterRegions)
		return false
	}
	return true
}

// allows reports whether a request may be served by a backend server. One whose region is unknown serves
// no request that is bound to regions.
func (f *Forwarder) allows(x *exchange, b *messenger.Backend) bool {
	if !x.isBound {
		return true
	}
	region, known := f.Regions[b.FailureDomain]
	return known && slices.Contains(x.regions, region)
}
