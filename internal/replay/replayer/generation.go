package replayer

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"strings"
	"time"

	"verbenareach/internal/engine/emulator"
	"verbenareach/internal/prompt/hasher"
	"verbenareach/internal/replay/tracer"
)

const (
	// maxTries bounds how often a caller sends a request that is refused temporarily;
	// maxResumes bounds how often it resumes a generation without progress.
	maxTries   = 8
	maxResumes = 20
	retryDelay = 200 * time.Millisecond
	// maxRetryAfter bounds how long a caller waits before a retry.
	maxRetryAfter = 2 * time.Second
)

type (
	// generationCaller is the caller of one generation.
	generationCaller struct {
		replayer *Replayer
		step     tracer.Step
		generate tracer.Generate
		result   Generation
		// prompt and the seed determine the expected tokens.
		prompt hasher.Prompt
		// lastID is the id of the last event.
		lastID string
		// lastTokenAt is when the last token arrived or, if later, the caller came back.
		lastTokenAt time.Time
		sentAt      time.Time
		// vanished is set once the caller has disconnected as VanishAfter states.
		vanished bool
	}

	// completionBody is a completion request with the stand-in engine's extensions.
	completionBody struct {
		Model         string `json:"model"`
		Prompt        string `json:"prompt"`
		Stream        bool   `json:"stream"`
		Seed          uint64 `json:"seed"`
		StandInLength int    `json:"stand_in_length"`
	}

	// completionChunk holds the fields of an answer that callers read.
	completionChunk struct {
		Choices []struct {
			Text string `json:"text"`
		} `json:"choices"`
	}

	// refusalBody is the body of every refusal.
	refusalBody struct {
		Error struct {
			Code    string `json:"code"`
			Message string `json:"message"`
		} `json:"error"`
		Ran string `json:"ran"`
	}
)

// run sends the request and reads the generation to its end.
func (c *generationCaller) run(ctx context.Context) Generation {
	c.result = Generation{Step: c.step, Ending: EndedUnknown}
	right, _ := c.replayer.Trace.Contracts[c.generate.Workspace].ModelRight(c.generate.Model)
	c.prompt = hasher.Hash(right.Model, right.Adapter, right.Version, c.generate.PromptText())
	c.sentAt = time.Now()
	c.lastTokenAt = c.sentAt
	entry := -1
	for range maxTries {
		entry = c.replayer.nextEntry(entry)
		if again := c.send(ctx, entry); !again {
			break
		}
	}
	c.result.EndedAt = c.replayer.elapsed()
	return c.result
}

// send sends the request once. It reports whether the caller should retry.
func (c *generationCaller) send(ctx context.Context, entry int) (again bool) {
	body, err := json.Marshal(completionBody{
		Model: c.generate.Model, Prompt: c.generate.PromptText(), Stream: !c.generate.Whole,
		Seed: c.generate.Seed, StandInLength: c.generate.Length,
	})
	if err != nil {
		c.result.Cause = err.Error()
		return false
	}
	resp, err := c.do(ctx, entry, http.MethodPost, "/v1/completions", body)
	if err != nil {
		c.result.Cause = err.Error()
		c.recordDisconnect(entry)
		return sleep(ctx, retryDelay) == nil
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return c.recordRefusal(ctx, resp)
	}
	if id := resp.Header.Get("X-Generation-Id"); id != "" {
		c.result.ID = id
	}
	if c.generate.Whole {
		return c.readWhole(ctx, entry, resp)
	}
	end := c.read(resp.Body)
	if end == streamBroken && c.result.Tokens == 0 {
		c.recordDisconnect(entry)
		return sleep(ctx, retryDelay) == nil
	}
	_ = resp.Body.Close()
	c.follow(ctx, entry, end)
	return false
}

// follow resumes the generation until it ends.
func (c *generationCaller) follow(ctx context.Context, entry int, end streamEnd) {
	resumesWithoutProgress := 0
	for end == streamBroken || end == streamVanished {
		if end == streamVanished {
			c.vanished = true
			if sleep(ctx, time.Duration(c.generate.BackAfter)) != nil {
				return
			}
			c.lastTokenAt = time.Now()
		}
		before := c.result.Tokens
		entry = c.replayer.nextEntry(entry)
		end = c.resume(ctx, entry)
		resumesWithoutProgress++
		if c.result.Tokens > before {
			resumesWithoutProgress = 0
		}
		if resumesWithoutProgress > maxResumes || end == streamBroken && sleep(ctx, retryDelay) != nil {
			return
		}
	}
}

// resume asks an entry to continue the stream after the last event.
func (c *generationCaller) resume(ctx context.Context, entry int) streamEnd {
	c.result.Resumes++
	id, _, _ := strings.Cut(c.lastID, "@")
	resp, err := c.do(ctx, entry, http.MethodGet, "/v1/generations/"+id, nil)
	if err != nil {
		c.result.Cause = err.Error()
		c.recordDisconnect(entry)
		return streamBroken
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode == http.StatusOK {
		end := c.read(resp.Body)
		if end == streamBroken {
			c.recordDisconnect(entry)
		}
		return end
	}
	var refusal refusalBody
	c.result.Cause = resp.Status
	if json.NewDecoder(resp.Body).Decode(&refusal) == nil {
		c.result.Cause, c.result.Ran = refusal.Error.Code+": "+refusal.Error.Message, refusal.Ran
	}
	return streamBroken
}

func (c *generationCaller) do(ctx context.Context, entry int, method, path string, body []byte) (*http.Response, error) {
	r := c.replayer
	req, err := http.NewRequestWithContext(ctx, method, "http://"+r.Entries[entry]+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+r.Trace.Keys[c.generate.Workspace])
	req.Header.Set("Content-Type", "application/json")
	if c.generate.Kind != "" {
		req.Header.Set("X-Request-Kind", c.generate.Kind)
	}
	if c.lastID != "" {
		req.Header.Set("Last-Event-ID", c.lastID)
	}
	return r.client.Do(req)
}

func (c *generationCaller) recordDisconnect(entry int) {
	r := c.replayer
	c.result.Disconnects = append(c.result.Disconnects, Disconnect{Entry: r.Trace.System.Entries[entry].Name, At: r.elapsed()})
}

// readWhole reads an answer without streaming. It reports whether the caller should
// retry.
func (c *generationCaller) readWhole(ctx context.Context, entry int, resp *http.Response) (again bool) {
	var whole completionChunk
	if err := json.NewDecoder(resp.Body).Decode(&whole); err != nil || len(whole.Choices) != 1 {
		c.recordDisconnect(entry)
		c.result.Cause = errors.Join(err, errors.New("the answer is not whole")).Error()
		return sleep(ctx, retryDelay) == nil
	}
	var want strings.Builder
	for i := range c.generate.Length {
		want.WriteString(emulator.TokenText(c.generate.Seed, c.prompt.Digest, i))
	}
	c.result.Ending = EndedWhole
	c.result.Tokens = c.generate.Length
	if whole.Choices[0].Text != want.String() {
		c.result.Wrong++
	}
	return false
}

// recordRefusal records a refusal. It reports whether the caller should retry.
func (c *generationCaller) recordRefusal(ctx context.Context, resp *http.Response) (again bool) {
	var refusal refusalBody
	if err := json.NewDecoder(resp.Body).Decode(&refusal); err != nil {
		c.result.Cause = resp.Status + ": " + err.Error()
		return false
	}
	c.result.Cause, c.result.Ran = refusal.Error.Code+": "+refusal.Error.Message, refusal.Ran
	if refusal.Ran != "no" {
		c.result.Ending = EndedIncomplete
		return false
	}
	c.result.Ending = EndedRefused
	if !isTemporary(resp) {
		return false
	}
	c.result.Refusals++
	return sleep(ctx, retryAfter(resp)) == nil
}

// isTemporary reports whether a refusal is temporary.
func isTemporary(resp *http.Response) bool {
	return resp.StatusCode == http.StatusTooManyRequests || resp.StatusCode == http.StatusServiceUnavailable
}

// retryAfter returns how long a caller waits before a retry.
func retryAfter(resp *http.Response) time.Duration {
	seconds, err := strconv.Atoi(resp.Header.Get("Retry-After"))
	if err != nil {
		return retryDelay
	}
	return min(time.Duration(seconds)*time.Second, maxRetryAfter)
}
