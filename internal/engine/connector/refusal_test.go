package connector

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"verbenareach/internal/wire/messenger"
)

// Callers get the status of a refusal, which ends the generation.
func TestAnswerThatIsNoErrorStatusCountsAsARefusal(t *testing.T) {
	tests := []struct {
		status  string
		refused bool
	}{
		{"000", false},
		{"001", false},
		{"099", false},
		{"+99", false},
		{"101", false},
		{"204", false},
		{"304", false},
		{"600", false},
		{"999", false},
		{"20x", false},
		{"OK", false},
		{"400", true},
		{"429", true},
		{"503", true},
		{"599", true},
	}
	for _, tt := range tests {
		t.Run(tt.status, func(t *testing.T) {
			e := newEngine(t, "HTTP/1.1 "+tt.status+" X\r\nConnection: close\r\n\r\n")
			_, err := e.Start(t.Context(), &messenger.GenerateStart{Path: "/v1/completions", Request: []byte("{}")})
			refused, broken := new(RefusedError), new(BrokenError)
			if errors.As(err, &refused) != tt.refused || errors.As(err, &broken) == tt.refused {
				t.Errorf("got %v, want a refusal: %t", err, tt.refused)
			}
		})
	}
}

func TestRedirectSendsAGenerationElsewhere(t *testing.T) {
	reached := false
	other := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { reached = true }))
	defer other.Close()
	engine := httptest.NewServer(http.RedirectHandler(other.URL, http.StatusTemporaryRedirect))
	defer engine.Close()
	e := &Engine{Address: engine.Listener.Addr().String(), Client: NewClient(0, time.Second)}
	_, err := e.Start(t.Context(), &messenger.GenerateStart{Path: "/v1/completions", Request: []byte("{}")})
	if broken := new(BrokenError); reached || !errors.As(err, &broken) {
		t.Errorf("got %v, sent elsewhere: %t", err, reached)
	}
}
