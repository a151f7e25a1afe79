package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

// server is a stand-in for a backend server. It serves one request at a time on a connection, and drops a request
// when its connection closes.
type server struct {
	id, service, address, zone string
	// control holds the addresses that take its heartbeats.
	control []string
	// events is the number of events of a stream, pause the time before each. A stream ends with its
	// connection if unframed is set, else it is sent in chunks.
	events   int
	pause    time.Duration
	unframed bool
	record   *record
	born     time.Time
	sequence atomic.Int64
	active   atomic.Int64
}

const (
	heartbeatInterval = 1200 * time.Millisecond
	// callTime is how long the work of a call takes.
	callTime = 60 * time.Millisecond
	slots    = 32
	// eventsPerLine is how many events of a stream one line of the record stands for.
	eventsPerLine = 10
)

// runServer runs a stand-in until the process is ended.
func runServer(arguments []string) error {
	flags := flag.NewFlagSet("server", flag.ExitOnError)
	id := flags.String("id", "", "id of the process")
	service := flags.String("service", "", "name of the service")
	address := flags.String("address", "", "address to listen at")
	control := flags.String("control", "", "addresses for heartbeats")
	recordPath := flags.String("record", "", "file for the record")
	events := flags.Int("events", 60, "events of a stream")
	pause := flags.Duration("pause", 100*time.Millisecond, "time before each event")
	unframed := flags.Bool("unframed", false, "streams end with their connection")
	if err := flags.Parse(arguments); err != nil {
		return err
	}
	r, err := openRecord(*recordPath, false)
	if err != nil {
		return err
	}
	s := &server{
		id: *id, service: *service, address: *address, zone: "riga-a", control: strings.Split(*control, ","), events: *events, pause: *pause,
		unframed: *unframed, record: r, born: time.Now(),
	}
	l, err := net.Listen("tcp", s.address)
	if err != nil {
		return err
	}
	s.record.add("server started", "server", s.id, "address", s.address)
	go s.sendHeartbeats()
	for {
		conn, err := l.Accept()
		if err != nil {
			return err
		}
		go s.serve(conn)
	}
}

// sendHeartbeats sends heartbeats until the process ends, to one host after the other until one answers.
func (s *server) sendHeartbeats() {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for next := 0; ; time.Sleep(heartbeatInterval) {
		for range s.control {
			if s.sendHeartbeat(&client, s.control[next%len(s.control)]) {
				break
			}
			next++
		}
	}
}

// sendHeartbeat sends one heartbeat and reports whether it was acknowledged.
func (s *server) sendHeartbeat(client *http.Client, control string) bool {
	body, err := json.Marshal(map[string]any{
		"service": s.service, "address": s.address, "zone": s.zone, "version": "v1", "slots": slots, "state": "ready",
		"cold-remaining-ms": 0, "stage": "colocated", "models": []map[string]any{{"name": "m", "version": 1, "adapters": []string{}}},
		"sequence": s.sequence.Add(1), "born": s.born.UnixMilli(),
	})
	if err != nil {
		return false
	}
	req, err := http.NewRequest(http.MethodPut, "http://"+control+"/instances/"+s.id, bytes.NewReader(body))
	if err != nil {
		return false
	}
	resp, err := client.Do(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// serve serves the requests of one connection.
func (s *server) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	in := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil || !s.answer(conn, in, req, body) {
			return
		}
	}
}

// answer answers one request and reports whether the connection stays open.
func (s *server) answer(conn net.Conn, in *bufio.Reader, req *http.Request, body []byte) bool {
	expected := req.Header.Get(names.Expected)
	switch {
	case req.URL.Path == "/health":
		return s.reply(conn, req, http.StatusOK, map[string]string{names.ProcessID: s.id}, "ok\n")
	case req.URL.Path == "/report":
		return s.reply(conn, req, http.StatusOK, nil, s.state())
	case expected != "" && expected != s.id:
		return s.reply(conn, req, http.StatusMisdirectedRequest, map[string]string{names.NotRun: "1"}, "another process\n")
	case req.Header.Get(names.ID) == "":
		return s.reply(conn, req, http.StatusBadRequest, map[string]string{names.NotRun: "1"}, "no id\n")
	}
	s.active.Add(1)
	defer s.active.Add(-1)
	s.record.add("runs", "server", s.id, "request", req.Header.Get(names.ID), "method", req.Method, "path", req.URL.RequestURI(),
		"workspace", req.Header.Get(names.Workspace), "authorization", req.Header.Get("Authorization"), "bytes", len(body))
	if strings.HasPrefix(req.URL.Path, "/draft/") {
		return s.stream(conn, in, req)
	}
	time.Sleep(callTime)
	return s.reply(conn, req, http.StatusOK, map[string]string{names.Signature: s.signature(req)}, "done by "+s.id+"\n")
}

// reply sends a whole answer with a length.
func (s *server) reply(conn net.Conn, req *http.Request, status int, fields map[string]string, body string) bool {
	var out bytes.Buffer
	fmt.Fprintf(&out, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	if id := req.Header.Get(names.ID); id != "" {
		fmt.Fprintf(&out, "%s: %s\r\n", names.ID, id)
	}
	for name, value := range fields {
		fmt.Fprintf(&out, "%s: %s\r\n", name, value)
	}
	fmt.Fprintf(&out, "Content-Length: %d\r\n\r\n%s", len(body), body)
	_, err := conn.Write(out.Bytes())
	return err == nil && !req.Close
}

// stream answers with events until all are sent or the connection closes.
func (s *server) stream(conn net.Conn, in *bufio.Reader, req *http.Request) bool {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		// The host sends nothing more on this connection but its end.
		_, _ = in.Peek(1)
		cancel()
	}()
	framing := "Transfer-Encoding: chunked\r\n"
	if s.unframed {
		framing = "Connection: close\r\n"
	}
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s\r\nContent-Type: text/event-stream\r\n%s\r\n",
		names.ID, req.Header.Get(names.ID), names.Signature, s.signature(req), framing)
	if _, err := io.WriteString(conn, head); err != nil {
		return false
	}
	for i := 1; i <= s.events; i++ {
		select {
		case <-ctx.Done():
			s.record.add("stream dropped", "server", s.id, "request", req.Header.Get(names.ID), "events", i-1)
			return false
		case <-time.After(s.pause):
		}
		event := fmt.Sprintf("id: %d\ndata: event %d of %d\n\n", i, i, s.events)
		if !s.unframed {
			event = fmt.Sprintf("%x\r\n%s\r\n", len(event), event)
		}
		if _, err := io.WriteString(conn, event); err != nil {
			return false
		}
		if i%eventsPerLine == 0 {
			s.record.add("events made", "server", s.id, "request", req.Header.Get(names.ID), "events", i)
		}
	}
	if !s.unframed {
		_, _ = io.WriteString(conn, "0\r\n\r\n")
	}
	s.record.add("stream whole", "server", s.id, "request", req.Header.Get(names.ID), "events", s.events)
	return false
}

// signature returns the proof that an answer is this server's.
func (s *server) signature(req *http.Request) string {
	return "3e1b." + s.id + "." + req.Header.Get(names.ID)
}

// state returns what the server says of itself on request.
func (s *server) state() string {
	return `{"stage":"colocated","models":[{"name":"m","version":1,"adapters":[]}],"busy":false,"sequence":0,"queued":0,"active":` +
		strconv.FormatInt(s.active.Load(), 10) + `,"kv-used":0,"kv-total":34483,"handles":0,"state":"ready","runs":[]}` + "\n"
}
