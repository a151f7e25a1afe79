package hasher

import (
	"slices"
	"strings"
	"testing"
)

func TestHash(t *testing.T) {
	long := strings.Repeat("word ", 50)
	base := Hash("m", "", "", long)
	tests := []struct {
		name   string
		prompt Prompt
		tokens int
		shared int
	}{
		{"same", Hash("m", "", "", long), 50, 3},
		{"spaces do not count", Hash("m", "", "", " \n"+long), 50, 3},
		{"split in parts", Hash("m", "", "", strings.Repeat("word ", 20), strings.Repeat("word ", 30)), 50, 3},
		{"other end", Hash("m", "", "", strings.Repeat("word ", 40)+"another end"), 42, 2},
		{"other start", Hash("m", "", "", "start "+long), 51, 0},
		{"other adapter", Hash("m", "a", "", long), 50, 0},
		{"empty", Hash("m", "", ""), 0, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if tt.prompt.Tokens != tt.tokens || len(tt.prompt.Blocks) != tt.tokens/BlockTokens {
				t.Errorf("%d tokens, %d blocks", tt.prompt.Tokens, len(tt.prompt.Blocks))
			}
			shared := 0
			for i, h := range tt.prompt.Blocks {
				if i < len(base.Blocks) && h == base.Blocks[i] {
					shared++
				}
			}
			if shared != tt.shared {
				t.Errorf("%d blocks shared, want %d", shared, tt.shared)
			}
			if slices.Contains(base.Blocks, 0) {
				t.Error("hash is 0")
			}
		})
	}
}
