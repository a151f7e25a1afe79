// Package hasher counts a prompt's tokens and hashes its blocks, in the way that
// engines identify the blocks of their prefix caches.
package hasher

import (
	"encoding/binary"
	"strings"
	"unicode"

	"github.com/cespare/xxhash/v2"
)

// BlockTokens is the number of tokens in one block of a prefix cache.
const BlockTokens = 16

// Prompt holds the length and the hashes of a prompt.
type Prompt struct {
	// Tokens is the number of tokens in the prompt.
	Tokens int
	// Blocks are the rolling hashes of the full blocks, in order: equal hashes at
	// the same position mean equal prompts up to there.
	Blocks []uint64
	// Digest is the rolling hash of the whole prompt.
	Digest uint64
}

// Hash hashes the prompt that consists of parts, in order: the text of a completion,
// or the role and content of each message of a chat. A word counts as one token.
// Prompts for different models, adapters or versions never share a block.
func Hash(model, adapter, version string, parts ...string) Prompt {
	h := xxhash.Sum64String(model + "\x00" + adapter + "\x00" + version)
	var p Prompt
	for _, part := range parts {
		for part != "" {
			var word string
			word, part = nextWord(part)
			if word == "" {
				break
			}
			h = chain(h, xxhash.Sum64String(word))
			p.Tokens++
			if p.Tokens%BlockTokens == 0 {
				p.Blocks = append(p.Blocks, h)
			}
		}
	}
	p.Digest = h
	return p
}

// chain extends the rolling hash h by the hash of one word.
func chain(h, word uint64) uint64 {
	var buf [16]byte
	binary.LittleEndian.PutUint64(buf[:8], h)
	binary.LittleEndian.PutUint64(buf[8:], word)
	return xxhash.Sum64(buf[:])
}

// nextWord splits the first word off s. The word is empty if none is left.
func nextWord(s string) (word, rest string) {
	s = strings.TrimLeftFunc(s, unicode.IsSpace)
	end := strings.IndexFunc(s, unicode.IsSpace)
	if end < 0 {
		return s, ""
	}
	return s[:end], s[end:]
}
