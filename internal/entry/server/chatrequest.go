package server

import (
	"encoding/json"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"verbenareach/internal/control/registrar"
	"verbenareach/internal/prompt/hasher"
	"verbenareach/internal/wire/messenger"
)

const (
	// kindHeader names the kind of a request. Lengths of generations are estimated for
	// each kind.
	kindHeader   = "X-Request-Kind"
	maxKindBytes = 64
)

type (
	// chatRequest has the fields of a caller's body, for a chat completion or a plain one,
	// that the entry reads. The engine gets the body unchanged.
	chatRequest struct {
		Model               string    `json:"model"`
		Prompt              string    `json:"prompt"`
		Messages            []message `json:"messages"`
		Stream              bool      `json:"stream"`
		MaxTokens           uint32    `json:"max_tokens"`
		MaxCompletionTokens uint32    `json:"max_completion_tokens"`
		Seed                *uint64   `json:"seed"`
	}

	message struct {
		Role    string          `json:"role"`
		Content json.RawMessage `json:"content"`
	}
)

// authenticate returns the contract of the request's API key. It refuses all requests while
// the entry is stopping or not ready.
func (e *Entry) authenticate(r *http.Request) (registrar.Contract, *RefusalError) {
	if e.stopping.Load() {
		refusal := refuse(http.StatusServiceUnavailable, "stopping", "this entry stops; another one serves you")
		refusal.RetryAfter = time.Second
		return registrar.Contract{}, refusal
	}
	if !e.Ready(time.Now()) {
		refusal := refuse(http.StatusServiceUnavailable, "notReady", "this entry does not know the contracts yet")
		refusal.RetryAfter = time.Second
		return registrar.Contract{}, refusal
	}
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok {
		return registrar.Contract{}, refuse(http.StatusUnauthorized, "missingKey", "send your API key as Authorization: Bearer KEY")
	}
	contract, ok := e.View().ContractByKey(key)
	if !ok {
		return registrar.Contract{}, refuse(http.StatusUnauthorized, "unknownKey", "this API key belongs to no workspace")
	}
	return contract, nil
}

// readBody reads a body of at most MaxBodyBytes within bodyTimeout.
func (e *Entry) readBody(w http.ResponseWriter, r *http.Request) ([]byte, *RefusalError) {
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(bodyTimeout))
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, e.MaxBodyBytes))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, refuse(http.StatusRequestEntityTooLarge, "bodyTooLarge", err.Error())
	}
	if err != nil {
		return nil, refuse(http.StatusBadRequest, "unreadableBody", err.Error())
	}
	_ = http.NewResponseController(w).SetReadDeadline(time.Time{})
	return body, nil
}

// isChat reports whether a generation is a chat completion, not a plain completion.
func isChat(start *messenger.GenerateStart) bool {
	return strings.HasSuffix(start.GetPath(), "/chat/completions")
}

// parseGeneration checks a body against the contract. It returns the start message of the
// generation and whether the caller wants a stream.
func parseGeneration(r *http.Request, contract registrar.Contract, body []byte) (*messenger.GenerateStart, bool, *RefusalError) {
	var req chatRequest
	if err := json.Unmarshal(body, &req); err != nil {
		return nil, false, refuse(http.StatusBadRequest, "malformedJSON", err.Error())
	}
	chat := strings.HasSuffix(r.URL.Path, "/chat/completions")
	if chat && len(req.Messages) == 0 {
		return nil, false, refuse(http.StatusBadRequest, "missingMessages", "a chat completion needs messages")
	}
	if !chat && req.Prompt == "" {
		return nil, false, refuse(http.StatusBadRequest, "missingPrompt", "a completion needs a prompt")
	}
	right, ok := contract.ModelRight(req.Model)
	if !ok {
		return nil, false, refuse(http.StatusNotFound, "unknownModel", "your contract has no model "+strings.ToValidUTF8(req.Model, "?"))
	}
	kind := r.Header.Get(kindHeader)
	if kind == "" {
		kind = strings.TrimPrefix(r.URL.Path, "/v1/")
	}
	if len(kind) > maxKindBytes {
		return nil, false, refuse(http.StatusBadRequest, "kindTooLong", kindHeader+" is too long")
	}
	prompt := hasher.Hash(right.Model, right.Adapter, right.Version, req.parts()...)
	return &messenger.GenerateStart{
		Workspace: contract.Workspace, Model: right.Model, Adapter: right.Adapter, Version: right.Version,
		Path: r.URL.Path, Request: body, Seed: req.seed(), MaxTokens: max(req.MaxTokens, req.MaxCompletionTokens),
		Priority: contract.Priority, Kind: kind, PromptTokens: uint32(prompt.Tokens), PrefixHashes: prompt.Blocks,
	}, req.Stream, nil
}

// parts returns the parts of the prompt, as hasher.Hash needs them.
func (req chatRequest) parts() []string {
	if len(req.Messages) == 0 {
		return []string{req.Prompt}
	}
	parts := make([]string, 0, 2*len(req.Messages))
	for _, m := range req.Messages {
		parts = append(parts, m.Role, string(m.Content))
	}
	return parts
}

// seed returns the caller's seed, or a random one, so that another engine can continue
// the same generation.
func (req chatRequest) seed() uint64 {
	if req.Seed != nil {
		return *req.Seed
	}
	return rand.Uint64() >> 1
}
