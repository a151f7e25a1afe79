package runner

import (
	"io"
	"net/http"
	"strings"
	"testing"
)

func TestCallThatIsNoTextIsTriedUntilItsDeadline(t *testing.T) {
	s := startSystem(t, testHost(6), 1, 1, 1)
	for name, tt := range map[string]struct{ method, path, header string }{
		"path": {http.MethodGet, "/v1/services/rota/%ff", ""},
		"key":  {http.MethodPost, "/v1/services/rota/swaps", "Idempotency-Key"},
		"type": {http.MethodPost, "/v1/services/rota/swaps", "Content-Type"},
	} {
		t.Run(name, func(t *testing.T) {
			r := s.request(tt.method, 0, tt.path, "", `{"reference":"odd"}`)
			if tt.header != "" {
				r.Header.Set(tt.header, "k\xff")
			}
			resp, err := http.DefaultClient.Do(r)
			if err != nil {
				t.Fatal(err)
			}
			defer resp.Body.Close()
			text, _ := io.ReadAll(resp.Body)
			if resp.StatusCode != http.StatusBadRequest || !strings.Contains(string(text), `"ran":"no"`) {
				t.Errorf("%d %s", resp.StatusCode, text)
			}
		})
	}
	if n := s.Service(0).Runs("odd"); n != 0 {
		t.Errorf("calls ran %d times", n)
	}
}
