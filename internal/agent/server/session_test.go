package server

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"verbenareach/internal/agent/bufferer"
	engineconnector "verbenareach/internal/engine/connector"
	"verbenareach/internal/wire/messenger"
)

// TestGenerateWithFaultyEngines uses engines that skip, repeat and truncate tokens.
func TestGenerateWithFaultyEngines(t *testing.T) {
	token := func(index int) string {
		return fmt.Sprintf("id: %d\ndata: {\"choices\":[{\"text\":\"t%d\"}]}\n\n", index, index)
	}
	end := func(total int) string {
		return fmt.Sprintf("data: {\"choices\":[{\"text\":\"\",\"finish_reason\":\"stop\"}],\"usage\":{\"completion_tokens\":%d}}\n\ndata: [DONE]\n\n", total)
	}
	plain := "data: {\"choices\":[{\"text\":\"t2\"}]}\n\n"
	tests := []struct {
		name   string
		events []string
		// texts are the tokens in the buffer at the end; t0 and t1 were delivered
		// by an earlier attempt.
		texts string
		// whole is whether the attempt is complete; otherwise it is resumable.
		whole bool
	}{
		{name: "whole", events: []string{token(2), token(3), end(4)}, texts: "t0t1t2t3", whole: true},
		{name: "new tokens counted only", events: []string{token(2), token(3), end(2)}, texts: "t0t1t2t3", whole: true},
		{name: "repeated", events: []string{token(2), token(2), token(3), end(4)}, texts: "t0t1t2t3", whole: true},
		{name: "skipped", events: []string{token(2), token(4), end(5)}, texts: "t0t1t2"},
		{name: "last skipped", events: []string{token(2), token(3), end(5)}, texts: "t0t1t2t3"},
		{name: "cut", events: []string{token(2)}, texts: "t0t1t2"},
		{name: "without numbers", events: []string{plain, end(9)}, texts: "t0t1t2", whole: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				_, _ = w.Write([]byte(strings.Join(tt.events, "")))
			}))
			defer server.Close()
			address := strings.TrimPrefix(server.URL, "http://")
			a := &Agent{backend: &backend{engine: &engineconnector.Engine{Address: address, Client: server.Client()}}}
			start := &messenger.GenerateStart{GenerationId: "g", Epoch: 1, Path: "/v1/completions", Request: []byte("{}"), Delivered: []string{"t0", "t1"}}
			s := &session{start: start, buffer: bufferer.NewBuffer(start.GetDelivered())}
			result := a.generate(context.Background(), s, workID(s.start))
			if got := strings.Join(s.buffer.Texts(), ""); got != tt.texts || (result.Cause == "") != tt.whole || !tt.whole && !result.Resumable {
				t.Errorf("got %s, %+v", got, result)
			}
		})
	}
}

// TestGenerateEndsBeforeEngineClosesStream uses an engine that keeps its response
// open after the end; the generation must still be complete at once.
func TestGenerateEndsBeforeEngineClosesStream(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = w.Write([]byte("data: {\"choices\":[{\"text\":\"t0\",\"finish_reason\":\"stop\"}]}\n\n"))
		_ = http.NewResponseController(w).Flush()
		<-r.Context().Done()
	}))
	defer server.Close()
	address := strings.TrimPrefix(server.URL, "http://")
	a := &Agent{backend: &backend{engine: &engineconnector.Engine{Address: address, Client: server.Client()}}}
	s := &session{start: &messenger.GenerateStart{Path: "/v1/completions", Request: []byte("{}")}, buffer: bufferer.NewBuffer(nil)}
	result := a.generate(context.Background(), s, workID(s.start))
	if result.Cause != "" || len(s.buffer.Texts()) != 1 {
		t.Errorf("got %q, %+v", s.buffer.Texts(), result)
	}
}
