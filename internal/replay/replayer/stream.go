package replayer

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"time"

	"verbenareach/internal/engine/emulator"
	"verbenareach/internal/generation/sequencer"
)

// streamEnd is the reason why reading a stream ended.
type streamEnd int

const (
	streamBroken streamEnd = iota
	streamWhole
	streamIncomplete
	streamVanished
)

const (
	// stallDefault is the gap above which tokens count as stalled if the trace states none.
	stallDefault = 500 * time.Millisecond
	maxEvent     = 1 << 20
)

// read reads events until the stream ends and returns the reason.
func (c *generationCaller) read(body io.Reader) streamEnd {
	lines := bufio.NewScanner(body)
	lines.Buffer(nil, maxEvent)
	var id, name string
	for lines.Scan() {
		line := lines.Bytes()
		field, value, _ := bytes.Cut(line, []byte(": "))
		switch {
		case len(line) == 0:
			id, name = "", ""
		case string(field) == "id":
			id = string(value)
		case string(field) == "event":
			name = string(value)
		case string(field) != "data":
		case name == "end":
			c.result.Ending = EndedWhole
			c.result.Lost += max(c.generate.Length-c.result.Tokens-c.result.Lost, 0)
			return streamWhole
		case name == "incomplete":
			c.recordIncomplete(value)
			return streamIncomplete
		case id != "":
			c.recordToken(id, value)
			if n := c.generate.VanishAfter; n > 0 && !c.vanished && c.result.Tokens >= n {
				return streamVanished
			}
		}
	}
	if err := lines.Err(); err != nil {
		c.result.Cause = err.Error()
	}
	return streamBroken
}

func (c *generationCaller) recordIncomplete(data []byte) {
	c.result.Ending = EndedIncomplete
	var refusal refusalBody
	if err := json.Unmarshal(data, &refusal); err != nil {
		c.result.Cause = err.Error()
		return
	}
	c.result.Cause, c.result.Ran = refusal.Error.Code+": "+refusal.Error.Message, refusal.Ran
}

// recordToken checks and records one token, which should be the next one and have the
// expected text.
func (c *generationCaller) recordToken(id string, data []byte) {
	now := time.Now()
	cursor, err := sequencer.ParseCursor(id)
	var chunk completionChunk
	if err != nil || json.Unmarshal(data, &chunk) != nil || len(chunk.Choices) != 1 {
		c.result.Wrong++
		return
	}
	c.lastID = id
	next := int64(c.result.Tokens + c.result.Lost)
	switch {
	case cursor.Index < next:
		c.result.Doubled++
		return
	case cursor.Index > next:
		c.result.Lost += int(cursor.Index - next)
	}
	if chunk.Choices[0].Text != emulator.TokenText(c.generate.Seed, c.prompt.Digest, int(cursor.Index)) {
		c.result.Wrong++
	}
	c.result.Tokens++
	c.result.ID = cursor.Generation
	c.recordAttempt(cursor)
	c.recordTokenTime(now)
}

// recordTokenTime records the latency of a token and any stall before it.
func (c *generationCaller) recordTokenTime(now time.Time) {
	gap := now.Sub(c.lastTokenAt)
	c.lastTokenAt = now
	if c.result.Tokens == 1 {
		c.result.FirstToken = now.Sub(c.sentAt)
		c.replayer.collected.update(func(res *Result) { observe(res.FirstTokens, c.result.FirstToken) })
		return
	}
	c.replayer.collected.update(func(res *Result) { observe(res.Gaps, gap) })
	c.result.LongestGap = max(c.result.LongestGap, gap)
	stall := time.Duration(c.replayer.Trace.Outcomes.Stall)
	if stall == 0 {
		stall = stallDefault
	}
	if gap > stall {
		c.result.Stalls++
		c.result.StallTime += gap
	}
}

func (c *generationCaller) recordAttempt(cursor sequencer.Cursor) {
	if n := len(c.result.Attempts); n > 0 && c.result.Attempts[n-1].Epoch == cursor.Epoch && c.result.Attempts[n-1].Server == cursor.Server {
		return
	}
	c.result.Attempts = append(c.result.Attempts, Attempt{Server: cursor.Server, Epoch: cursor.Epoch, At: c.replayer.elapsed()})
}
