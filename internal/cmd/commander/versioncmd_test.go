package commander

import (
	"bytes"
	"testing"
)

func TestVersion(t *testing.T) {
	var stdout, stderr bytes.Buffer
	if code := Main([]string{"version"}, &stdout, &stderr); code != exitOK {
		t.Fatalf("exit code %d, stderr %q", code, stderr.String())
	}
	if got, want := stdout.String(), "verbenareach "+Version+"\n"; got != want {
		t.Errorf("printed %q, want %q", got, want)
	}
}
