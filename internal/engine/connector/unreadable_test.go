package connector

import (
	"errors"
	"strings"
	"testing"

	"google.golang.org/protobuf/proto"

	"verbenareach/internal/wire/messenger"
)

func TestTokenThatIsNoTextBreaksItsStream(t *testing.T) {
	token, err := streamOf("data: {\"choices\":[{\"text\":\"a\xff\",\"finish_reason\":\"stop\xff\"}]}\n\n").Next()
	if err != nil {
		t.Fatal(err)
	}
	if token.Text != "a\ufffd" || token.FinishReason != "stop\ufffd" {
		t.Errorf("token is %+v", token)
	}
}

func TestRefusalThatIsNoTextCountsAsALostEngine(t *testing.T) {
	for name, words := range map[string]string{
		"odd bytes": "k\xfchl", "cut in a character": strings.Repeat("x", maxErrorBytes-1) + "ü",
	} {
		t.Run(name, func(t *testing.T) {
			e := newEngine(t, "HTTP/1.1 400 X\r\nConnection: close\r\n\r\n"+words)
			_, err := e.Start(t.Context(), &messenger.GenerateStart{Path: "/v1/completions", Request: []byte("{}")})
			refused := new(RefusedError)
			if !errors.As(err, &refused) {
				t.Fatal(err)
			}
			if _, err := proto.Marshal(&messenger.Header{Value: refused.Error()}); err != nil {
				t.Error(err)
			}
		})
	}
}
