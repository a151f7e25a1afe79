package connector

import (
	"net/http"
	"testing"

	"google.golang.org/protobuf/proto"

	"verbenareach/internal/wire/messenger"
)

func TestReplyWhoseTypeIsNoTextIsLost(t *testing.T) {
	s := New(listen(t, "HTTP/1.1 201 X\r\nContent-Type: text/k\xfchl\r\nContent-Length: 4\r\n\r\nbody"))
	defer s.Close()
	reply := s.Call(t.Context(), &messenger.CallRequest{Method: http.MethodPost, Path: "/"})
	if _, err := proto.Marshal(reply); err != nil || reply.GetStatus() != http.StatusCreated || string(reply.GetBody()) != "body" {
		t.Errorf("reply %v: %v", reply, err)
	}
}
