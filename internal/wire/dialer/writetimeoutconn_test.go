package dialer

import (
	"errors"
	"net"
	"os"
	"testing"
	"time"
)

func TestWriteTimeoutConnTimesOut(t *testing.T) {
	a, b := net.Pipe()
	defer func() {
		_ = a.Close()
		_ = b.Close()
	}()
	_, err := WriteTimeoutConn{Conn: a, Timeout: 20 * time.Millisecond}.Write([]byte("x"))
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("write ended with %v", err)
	}
}
