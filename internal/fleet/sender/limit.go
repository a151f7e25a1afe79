package sender

import (
	"errors"
	"io"
)

type (
	// limitedReader reads at most left bytes, or without a limit while left is unlimited.
	limitedReader struct {
		r    io.Reader
		left int64
	}

	// bodyReader reads a response body and notes that its end was reached.
	bodyReader struct {
		io.Reader
		ended bool
	}
)

// unlimited is a limitedReader's left while it has no limit.
const unlimited = -1

var (
	_ io.Reader = &limitedReader{}
	_ io.Reader = &bodyReader{}

	errHeaderTooLarge = errors.New("response header is too large")
)

// Read reads up to the limit. Beyond it the error is errHeaderTooLarge.
func (l *limitedReader) Read(p []byte) (int, error) {
	if l.left == unlimited {
		return l.r.Read(p)
	}
	if l.left == 0 {
		return 0, errHeaderTooLarge
	}
	n, err := l.r.Read(p[:min(int64(len(p)), l.left)])
	l.left -= int64(n)
	return n, err
}

// Read reads from the body.
func (b *bodyReader) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	b.ended = b.ended || errors.Is(err, io.EOF)
	return n, err
}
