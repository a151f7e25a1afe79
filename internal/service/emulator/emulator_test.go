package emulator

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
)

func TestBookingIsAnsweredAsJSON(t *testing.T) {
	w := httptest.NewRecorder()
	(&Service{}).handler().ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/bookings", strings.NewReader(`{"reference":"r"}`)))
	if got := w.Result().Header.Get("Content-Type"); w.Code != http.StatusCreated || got != "application/json" {
		t.Errorf("status %d with content type %q", w.Code, got)
	}
}
