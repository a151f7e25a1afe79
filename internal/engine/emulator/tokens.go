package emulator

import (
	"math"
	"math/rand/v2"
)

// Shape of the drawn output lengths: most replies are short, one in
// longReplies is long, both with a log-normal spread.
const (
	longReplies = 5
	shortMedian = 40.0
	shortSpread = 0.8
	longMedian  = 700.0
	longSpread  = 1.0
	maxLength   = 30_000
)

// syllables are the parts of the words that the stand-in says.
var syllables = []string{
	"ba", "dri", "ce", "fo", "ga", "hu", "ki", "lo", "ma", "ne", "pa", "ro", "sa", "ti", "vu", "ze",
}

// DrawLength returns the output length of a prompt under a seed: the same one
// each time.
func DrawLength(seed, prompt uint64) int {
	r := rand.New(rand.NewPCG(seed, prompt))
	median, spread := shortMedian, shortSpread
	if r.IntN(longReplies) == 0 {
		median, spread = longMedian, longSpread
	}
	length := median * math.Exp(spread*r.NormFloat64())
	return int(min(max(length, 1), maxLength))
}

// TokenText returns the token at an index, with a space before it; it holds
// only lower-case letters and that space.
func TokenText(seed, prompt uint64, index int) string {
	h := mix(mix(seed^prompt) + uint64(index))
	word := make([]byte, 0, 12)
	word = append(word, ' ')
	for n := 1 + h>>60&3; n > 0; n-- {
		word = append(word, syllables[h&15]...)
		h >>= 4
	}
	return string(word)
}

// mix spreads the bits of x (the finalizer of splitmix64).
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
