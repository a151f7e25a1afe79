package commander

import (
	"bytes"
	"testing"
)

// TestHelpRunsNothing requests help at several levels: it must be printed, and no
// command may run.
func TestHelpRunsNothing(t *testing.T) {
	for _, args := range [][]string{{"--help"}, {"help"}, {"version", "--help"}, {"settings", "--help"}, {"explain", "--help"}, {"standin", "service", "--help"}} {
		var stdout, stderr bytes.Buffer
		if code := Main(args, &stdout, &stderr); code != exitOK || stderr.Len() > 0 {
			t.Errorf("%v: exit code %d, stderr %q", args, code, &stderr)
		}
		if !bytes.Contains(stdout.Bytes(), []byte("usage: ")) || bytes.Contains(stdout.Bytes(), []byte(Version)) {
			t.Errorf("%v printed %q", args, &stdout)
		}
	}
}

func TestVersion(t *testing.T) {
	var stdout, stderr bytes.Buffer
	if code := Main([]string{"version"}, &stdout, &stderr); code != exitOK {
		t.Fatalf("exit code %d, stderr %q", code, stderr.String())
	}
	if got, want := stdout.String(), "verbenareach "+Version+"\n"; got != want {
		t.Errorf("printed %q, want %q", got, want)
	}
}
