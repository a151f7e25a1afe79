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
	// completion is the body of both forms of completion requests.
	completion struct {
		Model        string    `json:"model"`
		Prompt       string    `json:"prompt"`
		Messages     []message `json:"messages"`
		Stream       bool      `json:"stream"`
		MaxTokens    int       `json:"max_tokens"`
		Seed         uint64    `json:"seed"`
		Priority     int32     `json:"priority"`
		Adapter      string    `json:"adapter"`
		Version      string    `json:"version"`
		ResumeTokens []string  `json:"resume_tokens"`
		GenerationID string    `json:"generation_id"`
		// StandInLength fixes the output's length in tokens; 0 draws it.
		StandInLength int `json:"stand_in_length"`
	}

	message struct {
		Role    string `json:"role"`
		Content string `json:"content"`
	}

	errorAnswer struct {
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

	// answer writes the tokens of one request.
	answer struct {
		prompt  hasher.Prompt
		request Request
		seed    uint64
		// before and after stand around the text in each event; they need no escapes.
		before string
		after  string
		finish string
	}
)

// lengthOf returns the output's length in tokens and why it ends there.
func (c completion) lengthOf(prompt hasher.Prompt) (length int, finish string) {
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

func newAnswer(c completion, chat bool, request Request, prompt hasher.Prompt, finish string) *answer {
	object, text, end := "text_completion", `"text":"`, `"`
	if chat {
		object, text, end = "chat.completion.chunk", `"delta":{"content":"`, `"}`
	}
	model, _ := json.Marshal(c.Model)
	id, _ := json.Marshal("cmpl-" + c.GenerationID)
	head := `{"id":` + string(id) + `,"object":"` + object + `","model":` + string(model) + `,"choices":[{"index":0,`
	return &answer{
		prompt:  prompt,
		request: request,
		seed:    c.Seed,
		before:  head + text,
		after:   end + `,"finish_reason":`,
		finish:  finish,
	}
}

// appendEvent appends the event of the token at an index.
func (a *answer) appendEvent(buf []byte, index int) []byte {
	buf = append(buf, "id: "...)
	buf = strconv.AppendInt(buf, int64(index), 10)
	buf = append(buf, "\ndata: "...)
	buf = append(buf, a.before...)
	buf = append(buf, TokenText(a.seed, a.prompt.Digest, index)...)
	buf = append(buf, a.after...)
	return append(buf, "null}]}\n\n"...)
}

// appendEnd appends the events that end a stream.
func (a *answer) appendEnd(buf []byte) []byte {
	u, _ := json.Marshal(a.usage())
	buf = append(buf, "data: "...)
	buf = append(buf, a.before...)
	buf = append(buf, a.after...)
	buf = append(buf, `"`+a.finish+`"}],"usage":`...)
	buf = append(buf, u...)
	return append(buf, "}\n\ndata: [DONE]\n\n"...)
}

func (a *answer) usage() usage {
	return usage{
		PromptTokens:     a.request.PromptTokens,
		CompletionTokens: a.request.Length,
		TotalTokens:      a.request.PromptTokens + a.request.Length,
	}
}

// whole returns the body of an answer that isn't streamed.
func (a *answer) whole(indexes []int) []byte {
	var text strings.Builder
	for _, i := range indexes {
		text.WriteString(TokenText(a.seed, a.prompt.Digest, i))
	}
	u, _ := json.Marshal(a.usage())
	body := a.before + text.String() + a.after + `"` + a.finish + `"}],"usage":` + string(u) + "}\n"
	body = strings.Replace(body, "chat.completion.chunk", "chat.completion", 1)
	return []byte(strings.Replace(body, `"delta":{`, `"message":{"role":"assistant",`, 1))
}

// open queues a request; nil if it can never fit.
func (s *Server) open(request *Request) *stream {
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

func (s *Server) drop(id uint64) {
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
	length, finish := c.lengthOf(prompt)
	request := Request{
		PromptTokens: prompt.Tokens,
		Blocks:       prompt.Blocks,
		Resumed:      len(c.ResumeTokens),
		Length:       length,
		Priority:     c.Priority,
	}
	w.Header().Set("X-Cached-Tokens", strconv.Itoa(s.cachedTokens(prompt)))
	st := s.open(&request)
	if st == nil {
		writeError(w, http.StatusBadRequest, "context_length_exceeded", "prompt and output do not fit in memory")
		return
	}
	s.wakeUp()
	defer s.drop(request.ID)
	a := newAnswer(c, len(c.Messages) > 0, request, prompt, finish)
	if c.Stream {
		s.writeStream(w, r, st, a)
		return
	}
	s.writeWhole(w, r, st, a)
}

// writeStream sends tokens as they come, in one write those that came together.
func (s *Server) writeStream(w http.ResponseWriter, r *http.Request, st *stream, a *answer) {
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
			buf = a.appendEvent(buf, i)
		}
		if last {
			buf = a.appendEnd(buf)
		}
		if _, err := w.Write(buf); err != nil {
			return
		}
		if err := flusher.Flush(); err != nil {
			return
		}
	}
}

// writeWhole answers once all tokens are there.
func (s *Server) writeWhole(w http.ResponseWriter, r *http.Request, st *stream, a *answer) {
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
	if _, err := w.Write(a.whole(all)); err != nil {
		return
	}
}

func writeError(w http.ResponseWriter, status int, kind, message string) {
	writeJSON(w, status, errorAnswer{Error: errorBody{Type: kind, Message: message}})
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A caller that went away is no fault of the engine.
	_ = json.NewEncoder(w).Encode(v)
}
