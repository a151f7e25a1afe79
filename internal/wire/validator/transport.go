package validator

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
)

// Transport sends requests by net/http. A response with a malformed head is an error, and one that ends with its
// connection is whole only if the server ended that. After a malformed head on a used connection, net/http may
// send an idempotent request again, as it does after one that failed.
type Transport struct {
	*http.Transport
}

var _ http.RoundTripper = &Transport{}

// NewTransport returns a Transport with the settings of base, whose connections it opens itself.
func NewTransport(base *http.Transport) *Transport {
	base.DialContext = dial
	return &Transport{Transport: base}
}

// RoundTrip sends a request and returns the response.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	// From here on the connection is this request's alone.
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if c, ok := info.Conn.(*headConn); ok {
			c.awaitHead()
		}
	}}
	return t.Transport.RoundTrip(r.WithContext(httptrace.WithClientTrace(r.Context(), trace)))
}

// dial opens a connection with a checked end and checked heads.
func dial(ctx context.Context, network, address string) (net.Conn, error) {
	c, err := new(net.Dialer).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &headConn{Conn: Conn{Conn: c}}, nil
}
