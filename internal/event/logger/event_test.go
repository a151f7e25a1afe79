package logger

import (
	"os"
	"regexp"
	"testing"
)

func TestCatalogueAgreesWithDocs(t *testing.T) {
	data, err := os.ReadFile("../../../docs/events.md")
	if err != nil {
		t.Fatal(err)
	}
	documented := make(map[string]string)
	row := regexp.MustCompile(`(?m)^\| (VR\d{4}) \| (\w+) \| ([^|]+) \| [^|]+ \|$`)
	for _, m := range row.FindAllStringSubmatch(string(data), -1) {
		if _, twice := documented[m[1]]; twice {
			t.Errorf("%s is documented twice", m[1])
		}
		documented[m[1]] = m[2] + " " + m[3]
	}
	seen := make(map[string]bool)
	for _, ev := range Catalogue() {
		if seen[ev.Code()] {
			t.Errorf("%s is declared twice", ev.Code())
		}
		seen[ev.Code()] = true
		if got, want := documented[ev.Code()], ev.Level.String()+" "+ev.Message; got != want {
			t.Errorf("%s: docs/events.md has %q, code has %q", ev.Code(), got, want)
		}
	}
	for code := range documented {
		if !seen[code] {
			t.Errorf("%s is documented but not declared", code)
		}
	}
}
