package connector

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/google/go-cmp/cmp"

	"verbenareach/internal/wire/messenger"
)

// TestStreamTellsIndexes reads streams of engines that tell the tokens' places
// in different ways, or not at all.
func TestStreamTellsIndexes(t *testing.T) {
	tests := []struct {
		name string
		body string
		want []Token
	}{
		{"event ids", "id: 4\ndata: {\"choices\":[{\"text\":\" a\"}]}\n\nid: 7\ndata: {\"choices\":[{\"text\":\" b\",\"finish_reason\":\"stop\"}]}\n\n",
			[]Token{{Text: " a", Index: 4}, {Text: " b", FinishReason: "stop", Index: 7}}},
		{"in the choice", "id: x\ndata: {\"choices\":[{\"delta\":{\"content\":\" a\"},\"token_index\":4}]}\n\n", []Token{{Text: " a", Index: 4}}},
		{"other ids", "id: cmpl-1\ndata: {\"choices\":[{\"text\":\" a\"}]}\n\n", []Token{{Text: " a", Index: -1}}},
		{"an id counts for one event", "id: 4\ndata: {\"choices\":[{\"text\":\" a\"}]}\n\ndata: {\"choices\":[{\"text\":\" b\"}]}\n\n",
			[]Token{{Text: " a", Index: 4}, {Text: " b", Index: -1}}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				_, _ = w.Write([]byte(tt.body))
			}))
			defer server.Close()
			engine := &Engine{Address: server.Listener.Addr().String(), Client: server.Client()}
			stream, err := engine.Start(t.Context(), &messenger.GenerateStart{Path: "/v1/completions", Request: []byte("{}")})
			if err != nil {
				t.Fatal(err)
			}
			defer stream.Close()
			var got []Token
			for {
				token, err := stream.Next()
				if err != nil {
					var broken *BrokenError
					if !errors.As(err, &broken) {
						t.Error(err)
					}
					break
				}
				got = append(got, token)
			}
			if diff := cmp.Diff(tt.want, got); diff != "" {
				t.Error(diff)
			}
		})
	}
}
