package estimator

import "math/bits"

// Lengths fall into buckets: each length below linear has its own bucket, each octave above
// has four. The last bucket holds all lengths from maxLength on.
const (
	linear     = 8
	linearBits = 3
	perOctave  = 4
	octaves    = 14
	buckets    = linear + octaves*perOctave
	maxLength  = linear << octaves
)

// bucketOf returns the bucket of a length.
func bucketOf(n int) int {
	if n < linear {
		return max(n, 0)
	}
	if n >= maxLength {
		return buckets - 1
	}
	octave := bits.Len(uint(n)) - 1
	quarter := n >> (octave - 2) & 3
	return linear + (octave-linearBits)*perOctave + quarter
}

// lowerBound returns the smallest length in a bucket.
func lowerBound(b int) int {
	if b < linear {
		return b
	}
	octave := (b-linear)/perOctave + linearBits
	quarter := (b - linear) % perOctave
	return (perOctave + quarter) << (octave - 2)
}
