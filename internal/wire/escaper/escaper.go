// Package escaper turns what clients and backend servers call things into texts that messages between hosts
// can hold.
package escaper

import (
	"strconv"
	"unicode/utf8"
)

// Text returns s if it is valid UTF-8, or else a quoted form of it. Different invalid strings have different
// forms.
func Text(s string) string {
	if utf8.ValidString(s) {
		return s
	}
	return strconv.Quote(s)
}
