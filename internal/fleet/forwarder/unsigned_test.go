package forwarder

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
)

// A backend server in trouble, or another process at its address, may answer without the signature.
func TestStreamThatIsNoBackendServersIsForwarded(t *testing.T) {
	tests := []struct {
		name, fields, body string
	}{
		{"unsigned", "", events(1, 3)},
		{"unsigned and empty", "", ""},
		{"encoded", signed + "Content-Encoding: gzip\r\n", events(1, 3)},
	}
	for _, tt := range tests {
		for path, want := range map[string]int{"/stream/a": http.StatusBadGateway, "/plain-stream/a": http.StatusBadGateway, "/resume/a": http.StatusOK} {
			t.Run(tt.name+path, func(t *testing.T) {
				bad := func(c net.Conn, seen seenRequest) bool {
					_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nT-Id: %s\r\n%sContent-Length: %d\r\n\r\n%s", seen.Header.Get("T-Id"), tt.fields, len(tt.body), tt.body)
					return err == nil
				}
				x := newFixture(t, newStandIn(t, "e1", bad), newStandIn(t, "s", bad), newStandIn(t, "e2", streams(1, 8)))
				x.placeInOrder("e1", "e2")
				got := x.send(path, key, "prompt")
				if got.status != want || want == http.StatusOK && got.body != events(1, 8) {
					t.Errorf("client got %d %q, %v, want %d", got.status, strings.ReplaceAll(got.body, "\n", " "), got.err, want)
				}
			})
		}
	}
}
