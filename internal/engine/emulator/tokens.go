package emulator

import (
	"math"
	"math/rand/v2"
)

// Distribution of the drawn output lengths, in tokens: one reply in longReplyRatio
// is long, the others are short. Both kinds are log-normal with a median and a
// sigma, bounded by maxLength.
const (
	longReplyRatio = 5
	shortMedian    = 40.0
	shortSigma     = 0.8
	longMedian     = 700.0
	longSigma      = 1.0
	maxLength      = 30_000
)

// syllables are the parts of the generated words.
var syllables = []string{
	"ba", "dri", "ce", "fo", "ga", "hu", "ki", "lo", "ma", "ne", "pa", "ro", "sa", "ti", "vu", "ze",
}

// DrawLength returns a pseudo-random output length in tokens. The same seed and
// prompt digest always give the same length.
func DrawLength(seed, prompt uint64) int {
	r := rand.New(rand.NewPCG(seed, prompt))
	median, sigma := shortMedian, shortSigma
	if r.IntN(longReplyRatio) == 0 {
		median, sigma = longMedian, longSigma
	}
	length := median * math.Exp(sigma*r.NormFloat64())
	return int(min(max(length, 1), maxLength))
}

// TokenText returns the text of the output token at an index: a space and a word of
// lower-case letters. The same arguments always give the same text.
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
