// Package connector speaks to a model engine in the usual OpenAI form over HTTP.
// No other package of the agent knows that form.
package connector

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fastjson"

	"verbenareach/internal/wire/messenger"
)

const (
	readBufferBytes = 64 << 10
	maxErrorBytes   = 4 << 10
	drainTimeout    = 100 * time.Millisecond
)

var (
	dataPrefix = []byte("data:")
	idPrefix   = []byte("id:")
	doneData   = []byte("[DONE]")
)

type (
	// Engine is one model engine. Its fields are set before first use.
	Engine struct {
		// Address is the engine's IP number and port.
		Address string
		// Client sends the requests.
		Client *http.Client
	}

	// Stream is one running generation at an engine.
	Stream struct {
		// CachedTokens is the part of the prompt that the engine had in its cache.
		CachedTokens uint32

		body   io.ReadCloser
		reader *bufio.Reader
		// parser is used again for each event.
		parser fastjson.Parser
	}

	// Token is the next piece of a generation; the last one has a finish reason and
	// may have no text.
	Token struct {
		Text         string
		FinishReason string
		// Index is the token's place in the generation, which engines tell as the
		// event's id or in the choice; -1 from an engine that doesn't tell.
		Index int64
		// Total is how many tokens the engine says it made; -1 where it doesn't tell.
		Total int64
	}

	// RefusedError reports that the engine refused a request before it ran.
	RefusedError struct {
		Status int
		Body   string
	}

	// BrokenError reports that a stream ended without a finish reason.
	BrokenError struct {
		Err error
	}

	// Load is an engine's report of its load.
	Load struct {
		Running           uint32  `json:"running"`
		Waiting           uint32  `json:"waiting"`
		MemoryTokensTotal uint64  `json:"memoryTokensTotal"`
		MemoryTokensUsed  uint64  `json:"memoryTokensUsed"`
		Preemptions       uint64  `json:"preemptions"`
		StallSeconds      float64 `json:"stallSeconds"`
		// ReportedAt is in Unix nanoseconds.
		ReportedAt int64 `json:"reportedAt"`
	}

	// Order asks an engine to load or unload a model or to change its role.
	Order struct {
		// Fence is the order's fencing number.
		Fence   uint64 `json:"fence"`
		Kind    string `json:"kind"`
		Model   string `json:"model,omitempty"`
		Adapter string `json:"adapter,omitempty"`
		Version string `json:"version,omitempty"`
		Role    string `json:"role,omitempty"`
	}
)

var (
	_ error = &RefusedError{}
	_ error = &BrokenError{}
)

// Error tells the engine's status and words.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("engine refused with status %d: %s", e.Status, e.Body)
}

// Error tells why the stream broke.
func (e *BrokenError) Error() string {
	return fmt.Sprintf("engine's stream broke: %v", e.Err)
}

// Unwrap returns the cause.
func (e *BrokenError) Unwrap() error {
	return e.Err
}

// Load asks for the engine's newest report.
func (e *Engine) Load(ctx context.Context) (Load, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+e.Address+"/v1/load", nil)
	if err != nil {
		return Load{}, eris.Wrap(err, "engine load")
	}
	resp, err := e.Client.Do(r)
	if err != nil {
		return Load{}, eris.Wrap(err, "engine load")
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return Load{}, eris.Errorf("engine load: status %d", resp.StatusCode)
	}
	var load Load
	err = json.NewDecoder(resp.Body).Decode(&load)
	return load, eris.Wrap(err, "engine load")
}

// Order sends an order. It fails with a RefusedError when the engine refuses it.
func (e *Engine) Order(ctx context.Context, order Order) error {
	body, err := json.Marshal(order)
	if err != nil {
		return eris.Wrap(err, "engine order")
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+e.Address+"/v1/orders", bytes.NewReader(body))
	if err != nil {
		return eris.Wrap(err, "engine order")
	}
	resp, err := e.Client.Do(r)
	if err != nil {
		return eris.Wrap(err, "engine order")
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode/100 != 2 {
		text, _ := io.ReadAll(io.LimitReader(resp.Body, maxErrorBytes))
		return &RefusedError{Status: resp.StatusCode, Body: string(text)}
	}
	return nil
}

// Start begins or continues a generation. Cancel ctx to end it at the engine.
func (e *Engine) Start(ctx context.Context, start *messenger.GenerateStart) (*Stream, error) {
	body, err := requestBody(start)
	if err != nil {
		return nil, err
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+e.Address+start.GetPath(), bytes.NewReader(body))
	if err != nil {
		return nil, eris.Wrap(err, "engine request")
	}
	r.Header.Set("Content-Type", "application/json")
	resp, err := e.Client.Do(r)
	if err != nil {
		return nil, &BrokenError{Err: err}
	}
	if resp.StatusCode != http.StatusOK {
		defer func() { _ = resp.Body.Close() }()
		text, _ := io.ReadAll(io.LimitReader(resp.Body, maxErrorBytes))
		return nil, &RefusedError{Status: resp.StatusCode, Body: string(text)}
	}
	cached, _ := strconv.ParseUint(resp.Header.Get("X-Cached-Tokens"), 10, 32)
	return &Stream{CachedTokens: uint32(cached), body: resp.Body, reader: bufio.NewReaderSize(resp.Body, readBufferBytes)}, nil
}

// Close ends the stream at the engine if it still runs.
func (s *Stream) Close() {
	_ = s.body.Close()
}

// Drain reads what follows the last token, so that the connection can be used
// again: one that is closed with unread bytes is lost. It waits for a moment only.
func (s *Stream) Drain() {
	timer := time.AfterFunc(drainTimeout, s.Close)
	defer timer.Stop()
	_, _ = io.Copy(io.Discard, io.LimitReader(s.reader, maxErrorBytes))
}

// Next waits for the next token. It fails with a BrokenError when the stream
// ends without a finish reason.
func (s *Stream) Next() (Token, error) {
	index := int64(-1)
	for {
		line, err := s.reader.ReadSlice('\n')
		if err != nil {
			return Token{}, &BrokenError{Err: err}
		}
		if id, ok := bytes.CutPrefix(line, idPrefix); ok {
			index = eventIndex(id)
			continue
		}
		data, ok := bytes.CutPrefix(line, dataPrefix)
		if !ok {
			continue
		}
		data = bytes.TrimSpace(data)
		if bytes.Equal(data, doneData) {
			return Token{}, &BrokenError{Err: errors.New("done without a finish reason")}
		}
		event, err := s.parser.ParseBytes(data)
		if err != nil {
			return Token{}, &BrokenError{Err: err}
		}
		choice := event.Get("choices", "0")
		if choice == nil {
			continue
		}
		token := tokenOf(choice, index)
		token.Total = -1
		if total := event.Get("usage", "completion_tokens"); total != nil && total.Type() == fastjson.TypeNumber {
			token.Total = total.GetInt64()
		}
		return token, nil
	}
}

// eventIndex returns the token index that an event's id tells; -1 if it is none.
func eventIndex(id []byte) int64 {
	index, err := strconv.ParseInt(string(bytes.TrimSpace(id)), 10, 64)
	if err != nil || index < 0 {
		return -1
	}
	return index
}

// tokenOf reads one choice of an event; what is missing stays empty.
func tokenOf(choice *fastjson.Value, index int64) Token {
	if told := choice.Get("token_index"); told != nil && told.Type() == fastjson.TypeNumber {
		index = told.GetInt64()
	}
	return Token{
		Text:         string(choice.GetStringBytes("text")) + string(choice.GetStringBytes("delta", "content")),
		FinishReason: string(choice.GetStringBytes("finish_reason")),
		Index:        index,
	}
}

// requestBody adds to the caller's body what the engine needs besides.
func requestBody(start *messenger.GenerateStart) ([]byte, error) {
	fields := make(map[string]json.RawMessage)
	if err := json.Unmarshal(start.GetRequest(), &fields); err != nil {
		return nil, &RefusedError{Status: http.StatusBadRequest, Body: err.Error()}
	}
	extras := []struct {
		name  string
		value any
	}{
		{"stream", true},
		{"model", start.GetModel()},
		{"adapter", start.GetAdapter()},
		{"version", start.GetVersion()},
		{"seed", start.GetSeed()},
		{"priority", start.GetPriority()},
		{"max_tokens", start.GetMaxTokens()},
		{"generation_id", start.GetGenerationId()},
		{"resume_tokens", start.GetDelivered()},
	}
	for _, extra := range extras {
		value, err := json.Marshal(extra.value)
		if err != nil {
			return nil, eris.Wrap(err, "engine request")
		}
		fields[extra.name] = value
	}
	body, err := json.Marshal(fields)
	return body, eris.Wrap(err, "engine request")
}
