package decoder

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"verbenareach/internal/control/registrar"
)

func TestContractFindings(t *testing.T) {
	hash := registrar.HashKey("k")
	for _, tc := range []struct {
		name, text string
		want       []string
	}{
		{name: "not JSON", text: `{"workspace":`, want: []string{"/"}},
		{name: "list", text: `[]`, want: []string{"/"}},
		{name: "null", text: `{"workspace":null}`, want: []string{"/workspace"}},
		{
			name: "unknown, twice and wrong together",
			text: `{"workspace":"a","workspace":"b","limit":{},"share":-1,"retention":5,"keys":[{"name":1,"hash":"x"}]}`,
			want: []string{"/workspace", "/limit", "/share", "/retention", "/keys/0/name", "/keys/0/hash"},
		},
		{
			name: "values out of bounds together",
			text: `{"workspace":"a b","share":10001,"retention":"1m","targets":{"objective":1},` +
				`"limits":{"tokensPerSecond":-1},"keys":[{"name":"k","sha256":"` + hash + `"},{"name":"k","sha256":"` + hash + `"}]}`,
			want: []string{
				"/workspace", "/keys/1/name", "/keys/1/sha256", "/limits/tokensPerSecond", "/share", "/targets/objective", "/retention",
			},
		},
		{name: "good", text: `{"workspace":"a","keys":[{"name":"k","sha256":"` + hash + `"}],"retention":"72h"}`},
	} {
		t.Run(tc.name, func(t *testing.T) {
			_, findings := Contract([]byte(tc.text))
			var places []string
			for _, f := range findings {
				places = append(places, f.Place)
			}
			if diff := cmp.Diff(tc.want, places); diff != "" {
				t.Errorf("places of findings (-want +got):\n%s", diff)
			}
		})
	}
}

func TestSampleContracts(t *testing.T) {
	files, err := filepath.Glob("../../../samples/*/contracts/*.json")
	if err != nil || len(files) == 0 {
		t.Fatalf("no samples: %v", err)
	}
	for _, file := range files {
		data, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		c, findings := Contract(data)
		if len(findings) > 0 {
			t.Errorf("%s: %v", file, findings)
		}
		if got := strings.TrimSuffix(filepath.Base(file), ".json"); got != c.Workspace {
			t.Errorf("%s holds the contract of %s", file, c.Workspace)
		}
	}
}
