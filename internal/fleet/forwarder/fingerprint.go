package forwarder

import (
	"encoding/binary"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// fingerprint returns the same text for all requests that are equal to a backend server: those of the
// same workspace with the same method, host, target and body. Their ids may differ.
func (x *exchange) fingerprint() string {
	caller := x.workspace
	if caller == "" {
		caller = x.r.Get("Authorization")
	}
	d := xxhash.New()
	var length [8]byte
	for _, text := range []string{x.r.Method, x.r.Host, x.r.Target, caller} {
		// The lengths tell the texts apart.
		_, _ = d.Write(binary.BigEndian.AppendUint64(length[:0], uint64(len(text))))
		_, _ = d.WriteString(text)
	}
	_, _ = d.Write(x.r.Body)
	return strconv.FormatUint(d.Sum64(), 16)
}
