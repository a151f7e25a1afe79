// Package connector is the client of a model engine's OpenAI-compatible HTTP API.
// No other package of the agent depends on that API.
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
	"strings"
	"time"
	"unicode/utf8"

	"github.com/rotisserie/eris"
	"github.com/valyala/fastjson"

	"verbenareach/internal/wire/messenger"
	"verbenareach/internal/wire/validator"
)

const (
	// readBufferBytes bounds a line of a stream.
	readBufferBytes = 64 << 10
	// maxErrorBytes bounds what is read of the body of an error response, and of what
	// follows the last token of a stream.
	maxErrorBytes = 4 << 10
	drainTimeout  = 100 * time.Millisecond
	// maxHeaderBytes bounds the header of a response, maxLoadBytes a load report.
	maxHeaderBytes = 32 << 10
	maxLoadBytes   = 64 << 10
	// maxStatus is the last status of an answer.
	maxStatus = 599
)

var (
	dataPrefix = []byte("data:")
	idPrefix   = []byte("id:")
	doneData   = []byte("[DONE]")
)

type (
	// Engine is the client of one model engine. Set its fields before first use.
	Engine struct {
		// Address is the engine's IP number and port.
		Address string
		// Client sends the requests.
		Client *http.Client
	}

	// Stream reads the output of one generation from an engine.
	Stream struct {
		// CachedTokens is the number of prompt tokens found in the engine's prefix cache.
		CachedTokens uint32

		body   io.ReadCloser
		reader *bufio.Reader
		// parser is reused for every event.
		parser fastjson.Parser
	}

	// Token is one output token of a generation. The last one has a finish reason
	// and may have no text.
	Token struct {
		Text         string
		FinishReason string
		// Index is the token's position in the generation, from the event's id or the
		// choice's token_index; -1 if the engine sends neither.
		Index int64
		// Total is the engine's count of completion tokens; -1 if the event has none.
		Total int64
	}

	// RefusedError reports that the engine refused a request without running it, or that
	// the caller's request was no JSON object and wasn't sent.
	RefusedError struct {
		// Status is the HTTP status, from 400 to maxStatus.
		Status int
		Body   string
	}

	// BrokenError reports that the engine couldn't be reached, that its answer had a status of
	// neither success nor an error or did not arrive whole, or that a stream was malformed or ended
	// without a finish reason.
	BrokenError struct {
		Err error
	}

	// Load is an engine's load report.
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

	// Order instructs an engine to load or unload a model or to change its role.
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

// Error returns a message with the engine's status and response body.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("engine refused with status %d: %s", e.Status, e.Body)
}

// Error returns a message with the cause.
func (e *BrokenError) Error() string {
	return fmt.Sprintf("engine's stream broke: %v", e.Err)
}

// Unwrap returns the cause.
func (e *BrokenError) Unwrap() error {
	return e.Err
}

// NewClient returns a client for one engine that keeps the given number of idle connections for the
// given time.
func NewClient(idleConns int, idleTimeout time.Duration) *http.Client {
	return &http.Client{CheckRedirect: noRedirect, Transport: validator.NewTransport(&http.Transport{
		MaxIdleConnsPerHost: idleConns, IdleConnTimeout: idleTimeout, DisableCompression: true, MaxResponseHeaderBytes: maxHeaderBytes,
	})}
}

// noRedirect returns redirects as they are: following one would send a generation to any address.
func noRedirect(*http.Request, []*http.Request) error {
	return http.ErrUseLastResponse
}

// Load fetches the engine's latest load report.
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
	err = json.NewDecoder(io.LimitReader(resp.Body, maxLoadBytes)).Decode(&load)
	return load, eris.Wrap(err, "engine load")
}

// Order sends an order. It returns a RefusedError if the engine refuses it; after any other error the order may
// have been carried out.
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
		return refusal(resp)
	}
	return nil
}

// Start begins or resumes a generation. Cancel ctx to stop it at the engine. Start
// returns a RefusedError if the engine refuses the request and a BrokenError if
// the engine can't be reached or gives an answer that is neither.
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
		return nil, refusal(resp)
	}
	cached, _ := strconv.ParseUint(resp.Header.Get("X-Cached-Tokens"), 10, 32)
	return &Stream{CachedTokens: uint32(cached), body: resp.Body, reader: bufio.NewReaderSize(resp.Body, readBufferBytes)}, nil
}

// Close closes the stream and stops the generation at the engine if it is still running.
func (s *Stream) Close() {
	_ = s.body.Close()
}

// Drain reads what follows the last token, at most maxErrorBytes, so that the connection
// can be reused: one that is closed with unread bytes can't be. After drainTimeout it
// closes the stream.
func (s *Stream) Drain() {
	timer := time.AfterFunc(drainTimeout, s.Close)
	defer timer.Stop()
	_, _ = io.Copy(io.Discard, io.LimitReader(s.reader, maxErrorBytes))
}

// Next waits for the next token. It returns a BrokenError if an event is malformed
// or the stream ends without a finish reason.
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
		token := parseChoice(choice, index)
		token.Total = -1
		if total := event.Get("usage", "completion_tokens"); total != nil && total.Type() == fastjson.TypeNumber {
			token.Total = total.GetInt64()
		}
		return token, nil
	}
}

// refusal returns what a response without success means: a RefusedError, or a BrokenError if its status is no
// error or its body did not arrive whole.
func refusal(resp *http.Response) error {
	if resp.StatusCode < http.StatusBadRequest || resp.StatusCode > maxStatus {
		return &BrokenError{Err: fmt.Errorf("answer has status %d", resp.StatusCode)}
	}
	text, err := io.ReadAll(io.LimitReader(resp.Body, maxErrorBytes))
	if err != nil {
		return &BrokenError{Err: err}
	}
	return &RefusedError{Status: resp.StatusCode, Body: readable(text)}
}

// eventIndex parses an event's id as a token index; -1 if it isn't one.
func eventIndex(id []byte) int64 {
	index, err := strconv.ParseInt(string(bytes.TrimSpace(id)), 10, 64)
	if err != nil || index < 0 {
		return -1
	}
	return index
}

// parseChoice returns the token in one choice of an event. Missing fields stay
// empty, and index applies if the choice has no token_index.
func parseChoice(choice *fastjson.Value, index int64) Token {
	if tokenIndex := choice.Get("token_index"); tokenIndex != nil && tokenIndex.Type() == fastjson.TypeNumber {
		index = tokenIndex.GetInt64()
	}
	return Token{
		Text:         readable(choice.GetStringBytes("text")) + readable(choice.GetStringBytes("delta", "content")),
		FinishReason: readable(choice.GetStringBytes("finish_reason")),
		Index:        index,
	}
}

// readable returns an engine's words with replacement characters for what is not UTF-8, which messages between
// processes can't hold.
func readable(words []byte) string { return strings.ToValidUTF8(string(words), string(utf8.RuneError)) }

// requestBody returns the caller's body with the fields that start determines, such as
// the seed and the tokens to resume after, which replace the caller's. It returns a
// RefusedError if the caller's body is no JSON object.
func requestBody(start *messenger.GenerateStart) ([]byte, error) {
	fields := make(map[string]json.RawMessage)
	if err := json.Unmarshal(start.GetRequest(), &fields); err != nil {
		return nil, &RefusedError{Status: http.StatusBadRequest, Body: err.Error()}
	}
	if fields == nil {
		// The JSON value null.
		return nil, &RefusedError{Status: http.StatusBadRequest, Body: "request is no JSON object"}
	}
	overrides := []struct {
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
	for _, override := range overrides {
		value, err := json.Marshal(override.value)
		if err != nil {
			return nil, eris.Wrap(err, "engine request")
		}
		fields[override.name] = value
	}
	body, err := json.Marshal(fields)
	return body, eris.Wrap(err, "engine request")
}
