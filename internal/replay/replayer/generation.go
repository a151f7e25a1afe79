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
	// maxTries bounds how often a caller sends a request that was refused for now,
	// and maxResumes how often it comes back to a generation without progress.
	maxTries    = 8
	maxResumes  = 20
	resumePause = 200 * time.Millisecond
	// longestWait bounds what a caller waits for before it tries again.
	longestWait = 2 * time.Second
)

type (
	// generationCaller is one caller who wants one generation.
	generationCaller struct {
		replayer *Replayer
		step     tracer.Step
		generate tracer.Generate
		result   Generation
		// prompt decides, with the seed, the tokens that must come.
		prompt hasher.Prompt
		// lastID is the id of the newest event.
		lastID string
		// newest is when the newest token came, or when the caller came back.
		newest time.Time
		sent   time.Time
		// vanished tells that the caller has been away once.
		vanished bool
	}

	// completionBody is the request in the usual form with the stand-in's extras.
	completionBody struct {
		Model         string `json:"model"`
		Prompt        string `json:"prompt"`
		Stream        bool   `json:"stream"`
		Seed          uint64 `json:"seed"`
		StandInLength int    `json:"stand_in_length"`
	}

	// completionChunk is the part of an answer that callers read.
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

// run sends the request and follows the generation to its end.
func (c *generationCaller) run(ctx context.Context) Generation {
	c.result = Generation{Step: c.step, Ending: EndedUnknown}
	right, _ := c.replayer.Trace.Contracts[c.generate.Workspace].ModelRight(c.generate.Model)
	c.prompt = hasher.Hash(right.Model, right.Adapter, right.Version, c.generate.PromptText())
	c.sent = time.Now()
	c.newest = c.sent
	entry := -1
	for range maxTries {
		entry = c.replayer.nextEntry(entry)
		if again := c.send(ctx, entry); !again {
			break
		}
	}
	c.result.EndedAt = c.replayer.since()
	return c.result
}

// send sends the request once. It returns true if the caller should try again.
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
		c.noteBreak(entry)
		return sleep(ctx, resumePause) == nil
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return c.refused(ctx, resp)
	}
	if id := resp.Header.Get("X-Generation-Id"); id != "" {
		c.result.ID = id
	}
	if c.generate.Whole {
		return c.readWhole(ctx, entry, resp)
	}
	end := c.read(resp.Body)
	if end == streamBroken && c.result.Tokens == 0 {
		c.noteBreak(entry)
		return sleep(ctx, resumePause) == nil
	}
	_ = resp.Body.Close()
	c.follow(ctx, entry, end)
	return false
}

// follow comes back to the generation until it ends.
func (c *generationCaller) follow(ctx context.Context, entry int, end streamEnd) {
	fruitless := 0
	for end == streamBroken || end == streamVanished {
		if end == streamVanished {
			c.vanished = true
			if sleep(ctx, time.Duration(c.generate.BackAfter)) != nil {
				return
			}
			c.newest = time.Now()
		}
		before := c.result.Tokens
		entry = c.replayer.nextEntry(entry)
		end = c.resume(ctx, entry)
		fruitless++
		if c.result.Tokens > before {
			fruitless = 0
		}
		if fruitless > maxResumes || end == streamBroken && sleep(ctx, resumePause) != nil {
			return
		}
	}
}

// resume asks an entry to go on after the newest event.
func (c *generationCaller) resume(ctx context.Context, entry int) streamEnd {
	c.result.Resumes++
	id, _, _ := strings.Cut(c.lastID, "@")
	resp, err := c.do(ctx, entry, http.MethodGet, "/v1/generations/"+id, nil)
	if err != nil {
		c.result.Cause = err.Error()
		c.noteBreak(entry)
		return streamBroken
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode == http.StatusOK {
		end := c.read(resp.Body)
		if end == streamBroken {
			c.noteBreak(entry)
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

func (c *generationCaller) noteBreak(entry int) {
	r := c.replayer
	c.result.Breaks = append(c.result.Breaks, Break{Entry: r.Trace.System.Entries[entry].Name, At: r.since()})
}

// readWhole reads an answer in one piece.
func (c *generationCaller) readWhole(ctx context.Context, entry int, resp *http.Response) (again bool) {
	var whole completionChunk
	if err := json.NewDecoder(resp.Body).Decode(&whole); err != nil || len(whole.Choices) != 1 {
		c.noteBreak(entry)
		c.result.Cause = errors.Join(err, errors.New("the answer is not whole")).Error()
		return sleep(ctx, resumePause) == nil
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

// refused notes a refusal. It returns true if the caller should try again.
func (c *generationCaller) refused(ctx context.Context, resp *http.Response) (again bool) {
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
	if !mayRetry(resp) {
		return false
	}
	c.result.Refusals++
	return sleep(ctx, retryAfter(resp)) == nil
}

// mayRetry tells whether a refusal is one for now.
func mayRetry(resp *http.Response) bool {
	return resp.StatusCode == http.StatusTooManyRequests || resp.StatusCode == http.StatusServiceUnavailable
}

// retryAfter returns how long a caller waits before it tries again.
func retryAfter(resp *http.Response) time.Duration {
	seconds, err := strconv.Atoi(resp.Header.Get("Retry-After"))
	if err != nil {
		return resumePause
	}
	return min(time.Duration(seconds)*time.Second, longestWait)
}
