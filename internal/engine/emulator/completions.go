package emulator

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"

	"verbenareach/internal/prompt/hasher"
)

// maxBody bounds the body of a request, in bytes.
const maxBody = 16 << 20

type (
	// completion is the body of a completion or chat completion request.
	completion struct {
		Model     string    `json:"model"`
		Prompt    string    `json:"prompt"`
		Messages  []message `json:"messages"`
		Stream    bool      `json:"stream"`
		MaxTokens int       `json:"max_tokens"`
		Seed      uint64    `json:"seed"`
		Priority  int32     `json:"priority"`
		Adapter   string    `json:"adapter"`
		Version   string    `json:"version"`
		// ResumeTokens are the output tokens that an earlier attempt generated. Only their
		// number is used.
		ResumeTokens []string `json:"resume_tokens"`
		GenerationID string   `json:"generation_id"`
		// StandInLength is the length of the simulated output in tokens, before MaxTokens
		// bounds it. If it is not positive, DrawLength draws one.
		StandInLength int `json:"stand_in_length"`
	}

	message struct {
		Role    string `json:"role"`
		Content string `json:"content"`
	}

	errorResponse struct {
		Error errorBody `json:"error"`
	}

	errorBody struct {
		Type    string `json:"type"`
		Message string `json:"message"`
	}

	usage struct {
		PromptTokens     int `json:"prompt_tokens"`
		CompletionTokens int `json:"completion_tokens"`
		TotalTokens      int `json:"total_tokens"`
	}

	// responseFormatter formats the output of one request.
	responseFormatter struct {
		prompt  hasher.Prompt
		request Request
		seed    uint64
		// prefix and suffix enclose the text in each event. The text needs no escaping:
		// TokenText returns only letters and spaces.
		prefix       string
		suffix       string
		finishReason string
	}
)

// outputLength returns the output's length in tokens and the finish reason.
func (c completion) outputLength(prompt hasher.Prompt) (length int, finishReason string) {
	length = c.StandInLength
	if length <= 0 {
		length = DrawLength(c.Seed, prompt.Digest)
	}
	if c.MaxTokens > 0 && length > c.MaxTokens {
		return c.MaxTokens, "length"
	}
	return length, "stop"
}

func (c completion) prompt() hasher.Prompt {
	parts := []string{c.Prompt}
	for _, m := range c.Messages {
		parts = append(parts, m.Role, m.Content)
	}
	return hasher.Hash(c.Model, c.Adapter, c.Version, parts...)
}

func newResponseFormatter(c completion, chat bool, request Request, prompt hasher.Prompt, finishReason string) *responseFormatter {
	object, textStart, textEnd := "text_completion", `"text":"`, `"`
	if chat {
		object, textStart, textEnd = "chat.completion.chunk", `"delta":{"content":"`, `"}`
	}
	model, _ := json.Marshal(c.Model)
	id, _ := json.Marshal("cmpl-" + c.GenerationID)
	head := `{"id":` + string(id) + `,"object":"` + object + `","model":` + string(model) + `,"choices":[{"index":0,`
	return &responseFormatter{
		prompt:       prompt,
		request:      request,
		seed:         c.Seed,
		prefix:       head + textStart,
		suffix:       textEnd + `,"finish_reason":`,
		finishReason: finishReason,
	}
}

// appendEvent appends the server-sent event of the token at an index.
func (f *responseFormatter) appendEvent(buf []byte, index int) []byte {
	buf = append(buf, "id: "...)
	buf = strconv.AppendInt(buf, int64(index), 10)
	buf = append(buf, "\ndata: "...)
	buf = append(buf, f.prefix...)
	buf = append(buf, TokenText(f.seed, f.prompt.Digest, index)...)
	buf = append(buf, f.suffix...)
	return append(buf, "null}]}\n\n"...)
}

// appendEnd appends the events that end a stream.
func (f *responseFormatter) appendEnd(buf []byte) []byte {
	u, _ := json.Marshal(f.usage())
	buf = append(buf, "data: "...)
	buf = append(buf, f.prefix...)
	buf = append(buf, f.suffix...)
	buf = append(buf, `"`+f.finishReason+`"}],"usage":`...)
	buf = append(buf, u...)
	return append(buf, "}\n\ndata: [DONE]\n\n"...)
}

func (f *responseFormatter) usage() usage {
	return usage{
		PromptTokens:     f.request.PromptTokens,
		CompletionTokens: f.request.Length,
		TotalTokens:      f.request.PromptTokens + f.request.Length,
	}
}

// completeBody returns the body of a response that isn't streamed. It turns the chunk form
// of prefix and suffix into that of a complete response.
func (f *responseFormatter) completeBody(indexes []int) []byte {
	var text strings.Builder
	for _, i := range indexes {
		text.WriteString(TokenText(f.seed, f.prompt.Digest, i))
	}
	u, _ := json.Marshal(f.usage())
	body := f.prefix + text.String() + f.suffix + `"` + f.finishReason + `"}],"usage":` + string(u) + "}\n"
	body = strings.Replace(body, "chat.completion.chunk", "chat.completion", 1)
	return []byte(strings.Replace(body, `"delta":{`, `"message":{"role":"assistant",`, 1))
}

// submit sets the request's ID, queues it and returns the stream of its tokens, or nil if
// the request can never fit in memory. If nothing is left to generate, the request isn't
// queued and the stream has already ended.
func (s *Server) submit(request *Request) *stream {
	st := newStream()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastID++
	request.ID = s.lastID
	if request.Resumed >= request.Length {
		st.put(true)
		return st
	}
	if !s.engine.Submit(*request) {
		return nil
	}
	s.streams[request.ID] = st
	return st
}

func (s *Server) cachedTokens(prompt hasher.Prompt) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.engine.CachedTokens(prompt.Blocks)
}

func (s *Server) cancel(id uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.streams, id)
	s.engine.Cancel(id)
}

func (s *Server) serveCompletion(w http.ResponseWriter, r *http.Request) {
	var c completion
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody)).Decode(&c); err != nil {
		writeError(w, http.StatusBadRequest, "invalid_request_error", err.Error())
		return
	}
	if !s.Serves(Model{Model: c.Model, Adapter: c.Adapter, Version: c.Version}) {
		writeError(w, http.StatusNotFound, "model_not_found", "model is not loaded: "+c.Model)
		return
	}
	prompt := c.prompt()
	length, finishReason := c.outputLength(prompt)
	request := Request{
		PromptTokens: prompt.Tokens,
		Blocks:       prompt.Blocks,
		Resumed:      len(c.ResumeTokens),
		Length:       length,
		Priority:     c.Priority,
	}
	w.Header().Set("X-Cached-Tokens", strconv.Itoa(s.cachedTokens(prompt)))
	st := s.submit(&request)
	if st == nil {
		writeError(w, http.StatusBadRequest, "context_length_exceeded", "prompt and output do not fit in memory")
		return
	}
	s.wakeUp()
	defer s.cancel(request.ID)
	formatter := newResponseFormatter(c, len(c.Messages) > 0, request, prompt, finishReason)
	if c.Stream {
		s.writeStream(w, r, st, formatter)
		return
	}
	s.writeComplete(w, r, st, formatter)
}

// writeStream sends tokens as they are generated, all pending ones in one write.
func (s *Server) writeStream(w http.ResponseWriter, r *http.Request, st *stream, formatter *responseFormatter) {
	w.Header().Set("Content-Type", "text/event-stream")
	flusher := http.NewResponseController(w)
	if err := flusher.Flush(); err != nil {
		return
	}
	var buf []byte
	var indexes []int
	for last := false; !last; {
		select {
		case <-st.more:
		case <-r.Context().Done():
			return
		}
		indexes, last = st.take(indexes)
		buf = buf[:0]
		for _, i := range indexes {
			buf = formatter.appendEvent(buf, i)
		}
		if last {
			buf = formatter.appendEnd(buf)
		}
		if _, err := w.Write(buf); err != nil {
			return
		}
		if err := flusher.Flush(); err != nil {
			return
		}
	}
}

// writeComplete sends the whole response once all tokens are generated.
func (s *Server) writeComplete(w http.ResponseWriter, r *http.Request, st *stream, formatter *responseFormatter) {
	var all, indexes []int
	for last := false; !last; {
		select {
		case <-st.more:
		case <-r.Context().Done():
			return
		}
		indexes, last = st.take(indexes)
		all = append(all, indexes...)
	}
	w.Header().Set("Content-Type", "application/json")
	if _, err := w.Write(formatter.completeBody(all)); err != nil {
		return
	}
}

func writeError(w http.ResponseWriter, status int, kind, message string) {
	writeJSON(w, status, errorResponse{Error: errorBody{Type: kind, Message: message}})
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// An error means that the caller disconnected, which the engine can ignore.
	_ = json.NewEncoder(w).Encode(v)
}
