package estimator

import "math/bits"

// Lengths fall into buckets: each length below linearBuckets has its own bucket, each
// octave (doubling of the length) above has four. Lengths from maxLength on count in the
// last bucket too.
const (
	linearBuckets = 8
	// linearBits is the binary logarithm of linearBuckets.
	linearBits       = 3
	bucketsPerOctave = 4
	octaves          = 14
	bucketCount      = linearBuckets + octaves*bucketsPerOctave
	maxLength        = linearBuckets << octaves
)

// bucketOf returns the bucket of a length; a negative one counts as 0.
func bucketOf(n int) int {
	if n < linearBuckets {
		return max(n, 0)
	}
	if n >= maxLength {
		return bucketCount - 1
	}
	octave := bits.Len(uint(n)) - 1
	quarter := n >> (octave - 2) & 3
	return linearBuckets + (octave-linearBits)*bucketsPerOctave + quarter
}

// lowerBound returns the smallest length in a bucket, and maxLength for bucketCount.
func lowerBound(b int) int {
	if b < linearBuckets {
		return b
	}
	octave := (b-linearBuckets)/bucketsPerOctave + linearBits
	quarter := (b - linearBuckets) % bucketsPerOctave
	return (bucketsPerOctave + quarter) << (octave - 2)
}
