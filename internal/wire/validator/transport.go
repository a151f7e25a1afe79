package validator

import (
	"context"
	"net"
	"net/http"
)

// Transport sends requests by net/http. A response that ends with its connection is whole only if the server
// ended that.
type Transport struct {
	*http.Transport
}

var _ http.RoundTripper = &Transport{}

// NewTransport returns a Transport with the settings of base, whose connections it opens itself.
func NewTransport(base *http.Transport) *Transport {
	base.DialContext = dial
	return &Transport{Transport: base}
}

// dial opens a connection with a checked end.
func dial(ctx context.Context, network, address string) (net.Conn, error) {
	c, err := new(net.Dialer).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &Conn{Conn: c}, nil
}
