package commander

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

func TestSettingsCheck(t *testing.T) {
	good := "../../../samples/choirs/settings/entry-riga-a.json"
	bad := filepath.Join(t.TempDir(), "bad.json")
	text := `{"role": "entry", "name": "e", "failureDomain": "d", "region": "r",
		"entry": {"listen": "localhost:1", "peerListen": "127.0.0.1:2", "control": ["127.0.0.1:3"], "colour": 1}}`
	if err := os.WriteFile(bad, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	tests := []struct {
		name  string
		args  []string
		code  int
		shown []string
	}{
		{"good", []string{good}, exitOK, []string{"ok     " + good + " (entry entry-riga-a)"}},
		{"all findings of a file", []string{good, bad}, exitUsage, []string{"ok ", "wrong  " + bad, "/entry/listen: ", "/entry/colour: unknown field", "1 of 2 settings files"}},
		{"missing file", []string{"no-such-file"}, exitUsage, []string{"cannot be read"}},
		{"no file", nil, exitUsage, []string{"required argument"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var stdout, stderr bytes.Buffer
			code := Main(append([]string{"settings", "check"}, tt.args...), &stdout, &stderr)
			if code != tt.code {
				t.Errorf("exit code %d, want %d", code, tt.code)
			}
			for _, want := range tt.shown {
				if !strings.Contains(stdout.String()+stderr.String(), want) {
					t.Errorf("%q is not shown in:\n%s%s", want, &stdout, &stderr)
				}
			}
		})
	}
	var stdout, stderr bytes.Buffer
	if code := Main([]string{"settings", "check", "--json", bad}, &stdout, &stderr); code != exitUsage {
		t.Errorf("exit code %d with --json", code)
	}
	var checked []checkedFile
	if err := json.Unmarshal(stdout.Bytes(), &checked); err != nil || len(checked) != 1 || len(checked[0].Findings) != 2 {
		t.Errorf("%v: %s", err, &stdout)
	}
}
