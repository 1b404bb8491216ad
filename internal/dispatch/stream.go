package dispatch

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"time"

	"github.com/rotisserie/eris"

	"topazmoor/internal/verdict"
)

// Token is one generated token of a stream.
type Token struct {
	// Index is the token's index, from 0, in the whole generation, including the
	// parts before a stream was resumed.
	Index int    `json:"index"`
	Text  string `json:"text"`
}

// chunk is one event of an engine's completions stream.
type chunk struct {
	Choices []struct {
		Text       string `json:"text"`
		TokenIndex int    `json:"token_index"`
	} `json:"choices"`
}

var (
	dataPrefix = []byte("data: ")
	doneMark   = []byte("[DONE]")
)

// Stall holds the timeouts of a stream that sends no event.
type Stall struct {
	// First limits the wait for the first event, Next the wait for each later one.
	First, Next time.Duration
}

// Stream makes the call and passes each token to emit, starting with index
// next. A token out of order ends the stream: emit never gets a token after a gap
// or a duplicate. Stream returns nil only after the end mark of the engine.
//
// It returns an error of emit unchanged.
func (c *Client) Stream(ctx context.Context, call Call, next int, stall Stall, emit func(Token) error) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	watchdog := time.AfterFunc(stall.First, func() { cancel(errStalled) })
	defer watchdog.Stop()
	resp, h, err := c.send(ctx, call)
	if err != nil {
		return stalled(ctx, err, call)
	}
	defer resp.Body.Close()
	alive := func() { watchdog.Reset(stall.Next) }
	hold := c.answers.NewHold(nil)
	defer hold.Release()
	lines := &lineReader{br: bufio.NewReaderSize(resp.Body, lineBuffer), room: hold.TryGrow}
	done, err := readStream(lines, next, alive, emit, call)
	if done || err != nil {
		return err
	}
	return stalled(ctx, c.failure(ctx, call, h, io.ErrUnexpectedEOF), call)
}

// readStream reads events until the end mark. It returns false if the stream
// breaks off before. Its error reports invalid content or comes from emit.
func readStream(lines *lineReader, next int, alive func(), emit func(Token) error, call Call) (done bool, err error) {
	for {
		line, err := lines.next()
		if err != nil {
			return false, nil
		}
		data, ok := bytes.CutPrefix(line, dataPrefix)
		if !ok {
			continue
		}
		alive()
		if bytes.Equal(data, doneMark) {
			return true, nil
		}
		next, err = emitChunk(data, next, emit, call)
		if err != nil {
			return false, err
		}
	}
}

var errStalled = eris.New("dispatch: stream stalled")

// stalled replaces the error of a call that the watchdog cancelled: the target
// failed, the caller did not cancel.
func stalled(ctx context.Context, err error, call Call) error {
	if context.Cause(ctx) != errStalled {
		return err
	}
	return verdict.Wrap(errStalled, verdict.Of(err), verdict.TargetFailed, "the stream stalled").
		At(call.Identity.Stage, call.Target)
}

// emitChunk passes the tokens of one event to emit and returns the next index.
func emitChunk(data []byte, next int, emit func(Token) error, call Call) (int, error) {
	var ch chunk
	if err := json.Unmarshal(data, &ch); err != nil {
		return next, verdict.Wrap(err, verdict.MayHaveRun, verdict.TargetFailed, "the stream is not valid JSON").
			At(call.Identity.Stage, call.Target)
	}
	for _, choice := range ch.Choices {
		if choice.TokenIndex != next {
			return next, verdict.New(verdict.MayHaveRun, verdict.WrongAnswer,
				"the stream sent token %d, want %d", choice.TokenIndex, next).At(call.Identity.Stage, call.Target)
		}
		if err := emit(Token{Index: next, Text: choice.Text}); err != nil {
			return next, err
		}
		next++
	}
	return next, nil
}
