package parser

import (
	"errors"
	"os"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

const goodEntry = `{
	"role": "entry", "name": "riga-a-entry", "failureDomain": "riga-a", "region": "riga",
	"entry": {"listen": "127.0.0.1:7001", "peerListen": "127.0.0.1:7002", "control": ["127.0.0.1:7101"]}
}`

const goodControl = `{
	"role": "control", "name": "c1", "failureDomain": "riga-a", "region": "riga",
	"control": {"listen": "127.0.0.1:7101", "operatorListen": "127.0.0.1:7102", "dataFolder": "data",
		"operatorKeySHA256": "` + zeroHash + `", "peers": [{"name": "c1", "address": "127.0.0.1:7101"}]}
}`

const zeroHash = "0000000000000000000000000000000000000000000000000000000000000000"

func TestParseDefaults(t *testing.T) {
	s, err := Parse("entry.json", []byte(goodEntry))
	if err != nil {
		t.Fatal(err)
	}
	want := Settings{
		Role: "entry", Name: "riga-a-entry", FailureDomain: "riga-a", Region: "riga", LogLevel: "info",
		Entry: &Entry{
			Listen: "127.0.0.1:7001", PeerListen: "127.0.0.1:7002", Control: []string{"127.0.0.1:7101"},
			MaxBodyBytes: 4 << 20, RequestTimeout: Duration(30 * time.Second),
			StallTimeout: Duration(1800 * time.Millisecond), ResumeTimeout: Duration(20 * time.Second),
		},
	}
	if diff := cmp.Diff(want, s); diff != "" {
		t.Error(diff)
	}
}

func TestParseFindings(t *testing.T) {
	entry := func(old, changed string) string { return strings.Replace(goodEntry, old, changed, 1) }
	control := func(old, changed string) string { return strings.Replace(goodControl, old, changed, 1) }
	tests := []struct {
		name string
		text string
		want []string
	}{
		{"empty", "", []string{"line 1, column 1: the file ends"}},
		{"cut off", `{"role": "entry",`, []string{"the file ends"}},
		{"not JSON", "{\n  role: 1}", []string{"line 2, column 3: not JSON"}},
		{"not an object", `[]`, []string{"must hold one JSON object"}},
		{"text after the end", goodEntry + "{}", []string{"text after the end"}},
		{"unknown field", entry(`"region"`, `"zone": 1, "region"`), []string{"/zone: unknown field; known here: role"}},
		{"wrong case", entry(`"listen"`, `"Listen"`), []string{"/entry/Listen: unknown field; write listen", "/entry/listen: is missing"}},
		{"twice", entry(`"region"`, `"name": "x", "region"`), []string{"/name: the field is there twice"}},
		{"wrong types", entry(`"name": "riga-a-entry"`, `"name": 7, "logLevel": true`), []string{"/logLevel: must be one of", "/name: must be a name"}},
		{"null", entry(`["127.0.0.1:7101"]`, `null`), []string{"/entry/control: must be a list, not null"}},
		{"host name", entry(`"127.0.0.1:7001"`, `"localhost:7001"`), []string{"/entry/listen: \"localhost:7001\" has a name where an IP number must stand"}},
		{"no port", entry(`"127.0.0.1:7001"`, `"127.0.0.1"`), []string{"/entry/listen: \"127.0.0.1\" is not an IP number and a port"}},
		{"port zero", entry(`"127.0.0.1:7001"`, `"127.0.0.1:0"`), []string{"/entry/listen: \"127.0.0.1:0\" is not"}},
		{"all addresses", entry(`"127.0.0.1:7002"`, `"0.0.0.0:7002"`), []string{"/entry/peerListen: \"0.0.0.0:7002\" stands for all"}},
		{"list item", entry(`["127.0.0.1:7101"]`, `["127.0.0.1:7101", "x"]`), []string{"/entry/control/1: \"x\" is not"}},
		{"list too short", entry(`["127.0.0.1:7101"]`, `[]`), []string{"/entry/control: has 0 items, which is out of bounds: 1 to 7"}},
		{"bounds", entry(`"control":`, `"maxBodyBytes": 1, "requestTimeout": "1h", "control":`), []string{"/entry/maxBodyBytes: is out of bounds", "/entry/requestTimeout: is out of bounds: 100ms to 10m"}},
		{"fraction", entry(`"control":`, `"maxBodyBytes": 2048.5, "control":`), []string{"/entry/maxBodyBytes: must be an integer, not 2048.5"}},
		{"duration as number", entry(`"control":`, `"requestTimeout": 5, "control":`), []string{"/entry/requestTimeout: must be a duration such as"}},
		{"no block", `{"role": "agent", "name": "a", "failureDomain": "b", "region": "c"}`, []string{"/agent: is missing"}},
		{"other block", entry(`"entry",`, `"control",`), []string{"/entry: must not be there", "/control: is missing"}},
		{"same listener", entry(`7002`, `7001`), []string{"/entry/peerListen: is the same as /entry/listen"}},
		{"same control host", entry(`["127.0.0.1:7101"]`, `["127.0.0.1:7101", "127.0.0.1:7101"]`), []string{"/entry/control/1: 127.0.0.1:7101 is there twice"}},
		{"key in place of its hash", control(zeroHash, "secret-key"), []string{"/control/operatorKeySHA256: must be a SHA-256 hash"}},
		{"not among peers", control(`{"name": "c1"`, `{"name": "c2"`), []string{"/control/peers: this host, \"c1\", is not among them"}},
		{"peer elsewhere", control(`"address": "127.0.0.1:7101"`, `"address": "127.0.0.1:7109"`), []string{"/control/peers/0/address: is 127.0.0.1:7109"}},
		{"peer without name", control(`{"name": "c1",`, `{`), []string{"/control/peers/0/name: is missing"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, err := Parse("file.json", []byte(tt.text))
			var findings *FindingsError
			if !errors.As(err, &findings) {
				t.Fatalf("error %v, want findings", err)
			}
			if len(findings.Findings) != len(tt.want) {
				t.Errorf("%d findings, want %d", len(findings.Findings), len(tt.want))
			}
			for _, want := range tt.want {
				if !strings.Contains(err.Error(), want) {
					t.Errorf("no finding %q in:\n%v", want, err)
				}
			}
			if strings.Contains(err.Error(), "secret-key") {
				t.Errorf("a key is shown:\n%v", err)
			}
		})
	}
}

func TestParseFileMissing(t *testing.T) {
	_, err := ParseFile("no-such-file.json")
	var findings *FindingsError
	if !errors.As(err, &findings) || !strings.Contains(err.Error(), "cannot be read") {
		t.Errorf("error %v", err)
	}
}

// TestParseCutText truncates a good file and changes single bytes at any position. No
// text may crash the parser, and no truncated text may pass.
func TestParseCutText(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(3)
	properties := gopter.NewProperties(parameters)
	properties.Property("a cut file has findings", prop.ForAll(func(n int) bool {
		_, err := Parse("f", []byte(goodControl[:n]))
		return err != nil
	}, gen.IntRange(0, len(goodControl)-1)))
	properties.Property("a damaged file does not crash", prop.ForAll(func(n int, b uint8) bool {
		data := []byte(goodControl)
		data[n] = b
		_, err := Parse("f", data)
		var findings *FindingsError
		return err == nil || errors.As(err, &findings)
	}, gen.IntRange(0, len(goodControl)-1), gen.UInt8()))
	properties.TestingRun(t)
}

// TestFieldsCoverSettings checks that Fields and the JSON names of Settings have the
// same fields.
func TestFieldsCoverSettings(t *testing.T) {
	inCode := make(map[string]bool)
	collectPlaces(reflect.TypeFor[Settings](), "", inCode)
	inTable := make(map[string]bool)
	for _, f := range Fields {
		if inTable[f.Place] {
			t.Errorf("%s is in Fields twice", f.Place)
		}
		inTable[f.Place] = true
		if !inCode[f.Place] {
			t.Errorf("%s is in Fields but not in Settings", f.Place)
		}
		if _, ok := kindChecks[f.Kind]; !ok {
			t.Errorf("%s has the unknown kind %q", f.Place, f.Kind)
		}
		checkBounds(t, f)
	}
	for place := range inCode {
		if !inTable[place] {
			t.Errorf("%s is in Settings but not in Fields", place)
		}
	}
}

func checkBounds(t *testing.T, f Field) {
	t.Helper()
	for _, bound := range []string{f.Min, f.Max} {
		if bound == "" {
			continue
		}
		if f.Kind == KindDuration {
			if _, err := time.ParseDuration(bound); err != nil {
				t.Errorf("%s: bound %q: %v", f.Place, bound, err)
			}
			continue
		}
		if n := parseNumber(bound); n == 0 && bound != "0" {
			t.Errorf("%s: bound %q is not a number", f.Place, bound)
		}
	}
	if f.Default == "" {
		return
	}
	root, _ := readTree([]byte(`{"v": ` + f.Default + `}`))
	if problem := kindChecks[f.Kind](f, root["v"]); problem != "" {
		t.Errorf("%s: the default %s", f.Place, problem)
	}
}

func collectPlaces(typ reflect.Type, place string, all map[string]bool) {
	for typ.Kind() == reflect.Pointer {
		typ = typ.Elem()
	}
	if place != "" {
		all[place] = true
	}
	switch typ.Kind() {
	case reflect.Slice:
		collectPlaces(typ.Elem(), child(place, anyItem), all)
	case reflect.Struct:
		for i := range typ.NumField() {
			name, _, _ := strings.Cut(typ.Field(i).Tag.Get("json"), ",")
			collectPlaces(typ.Field(i).Type, child(place, name), all)
		}
	}
}

func TestDocsAgree(t *testing.T) {
	data, err := os.ReadFile("../../../docs/settings.md")
	if err != nil {
		t.Fatal(err)
	}
	rows := make(map[string]bool)
	for line := range strings.Lines(string(data)) {
		if strings.HasPrefix(line, "| `/") {
			rows[strings.TrimSpace(line)] = true
		}
	}
	for _, f := range Fields {
		if !rows[f.Row()] {
			t.Errorf("docs/settings.md lacks this row:\n%s", f.Row())
		}
		delete(rows, f.Row())
	}
	for row := range rows {
		t.Errorf("docs/settings.md has a row that Fields doesn't give:\n%s", row)
	}
}
