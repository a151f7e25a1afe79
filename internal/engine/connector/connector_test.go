package connector

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"verbenareach/internal/wire/messenger"
)

func streamOf(text string) *Stream {
	return &Stream{body: io.NopCloser(strings.NewReader(text)), reader: bufio.NewReaderSize(strings.NewReader(text), readBufferBytes)}
}

func TestNext(t *testing.T) {
	tests := []struct {
		name, text string
		want       Token
		broken     bool
	}{
		{name: "chat", text: `data: {"choices":[{"delta":{"content":"a\u00e9\n"},"finish_reason":null}]}`, want: Token{Text: "aé\n", Index: -1}},
		{name: "completion", text: `data:{"choices":[{"text":"b"}]}`, want: Token{Text: "b", Index: -1}},
		{name: "index", text: `data: {"choices":[{"text":"b","token_index":7}]}`, want: Token{Text: "b", Index: 7}},
		{name: "finish", text: `data: {"choices":[{"delta":{},"finish_reason":"stop"}]}`, want: Token{FinishReason: "stop", Index: -1}},
		{name: "finish with usage", text: `data: {"choices":[{"text":"","finish_reason":"stop"}],"usage":{"completion_tokens":9}}`, want: Token{FinishReason: "stop", Index: -1, Total: 9}},
		{name: "usage and comments are skipped", text: ": hello\n\ndata: {\"choices\":[],\"usage\":{}}\n\nevent: x\ndata: {\"choices\":[{\"text\":\"c\"}]}", want: Token{Text: "c", Index: -1}},
		{name: "done without a finish reason", text: "data: [DONE]", broken: true},
		{name: "malformed", text: `data: {"choices":[`, broken: true},
		{name: "cut off within a line", text: "da", broken: true},
		{name: "line too long", text: "data: " + strings.Repeat("x", readBufferBytes), broken: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			text := tt.text
			if !tt.broken {
				text += "\n\n"
			}
			got, err := streamOf(text + "\n").Next()
			var broken *BrokenError
			if !tt.broken && tt.want.Total == 0 {
				tt.want.Total = -1
			}
			if errors.As(err, &broken) != tt.broken || got != tt.want {
				t.Errorf("got %+v, %v", got, err)
			}
		})
	}
}

func TestRequestThatIsNoObjectIsRefused(t *testing.T) {
	for _, body := range []string{"null", "[]", "1", "", "{"} {
		t.Run(body, func(t *testing.T) {
			refused := new(RefusedError)
			if _, err := requestBody(&messenger.GenerateStart{Request: []byte(body)}); !errors.As(err, &refused) {
				t.Errorf("got %v, want a RefusedError", err)
			}
		})
	}
}

func FuzzNext(f *testing.F) {
	f.Add("data: {\"choices\":[{\"delta\":{\"content\":\"a\"},\"finish_reason\":null}]}\n\n")
	f.Fuzz(func(_ *testing.T, text string) {
		s := streamOf(text)
		for {
			if _, err := s.Next(); err != nil {
				return
			}
		}
	})
}

// An engine in trouble may send its load, or the head of any answer, without end.
func TestLoadWithoutEndFillsTheMemory(t *testing.T) {
	const most = 16 << 20
	for name, begin := range map[string]string{
		"body": "HTTP/1.1 200 X\r\n\r\n{\"running\":\"", "head": "HTTP/1.1 200 X\r\nA: ",
	} {
		t.Run(name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = l.Close() }()
			closed := make(chan int, 1)
			go func() {
				c, err := l.Accept()
				if err != nil {
					return
				}
				defer func() { _ = c.Close() }()
				_ = c.SetDeadline(time.Now().Add(2 * time.Second))
				if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
					return
				}
				_, _ = io.WriteString(c, begin)
				block := strings.Repeat("a", 64<<10)
				for sent := 0; ; sent += len(block) {
					if _, err := io.WriteString(c, block); err != nil {
						closed <- sent
						return
					}
				}
			}()
			e := &Engine{Address: l.Addr().String(), Client: NewClient(1, time.Second)}
			if _, err := e.Load(t.Context()); err == nil {
				t.Error("a load without end was read")
			}
			e.Client.CloseIdleConnections()
			if sent := <-closed; sent > most {
				t.Errorf("%d MiB were sent before the connection was closed", sent>>20)
			}
		})
	}
}
