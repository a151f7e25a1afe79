package sender

import (
	"bytes"
	"errors"
	"io"

	"verbenareach/internal/wire/validator"
)

type (
	// limitedReader reads at most left bytes, and stops once lines ends of lines were read, or reads
	// without a limit while left is unlimited. What it reads with a limit, head checks.
	limitedReader struct {
		r     io.Reader
		left  int64
		lines int
		head  validator.HeadChecker
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

	lineEnd = []byte{'\n'}

	errHeaderTooLarge = errors.New("response header is too large")
)

// allowHeader allows to read the next header.
func (l *limitedReader) allowHeader() {
	l.left, l.lines = maxHeaderBytes, maxHeaderLines
}

// Read reads up to the limit. Beyond it the error is errHeaderTooLarge.
func (l *limitedReader) Read(p []byte) (int, error) {
	if l.left == unlimited {
		return l.r.Read(p)
	}
	if l.left == 0 || l.lines <= 0 {
		return 0, errHeaderTooLarge
	}
	n, err := l.r.Read(p[:min(int64(len(p)), l.left)])
	l.left -= int64(n)
	l.lines -= bytes.Count(p[:n], lineEnd)
	l.head.Check(p[:n])
	return n, err
}

// Read reads from the body.
func (b *bodyReader) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	b.ended = b.ended || errors.Is(err, io.EOF)
	return n, err
}
