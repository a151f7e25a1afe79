package escaper

import (
	"testing"
	"unicode/utf8"
)

func TestTexts(t *testing.T) {
	for _, s := range []string{"", "9c41d07be2a35f68", "änne", `"quoted"`, "a\x00b"} {
		if got := Text(s); got != s {
			t.Errorf("valid %q becomes %q", s, got)
		}
	}
	seen := make(map[string]string)
	for _, s := range []string{"\xff", "\xfe", "a\xff", "\xffa", "\xff\xff", "\xc3\x28"} {
		got := Text(s)
		if !utf8.ValidString(got) {
			t.Errorf("%q becomes %q", s, got)
		}
		if other, taken := seen[got]; taken {
			t.Errorf("%q and %q become the same", s, other)
		}
		seen[got] = s
	}
}
