package boundedlog

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// linesPerSecond is how many lines of one message pass unsampled in a second: ten
	// times what a node logs at the peak load of the design (3,300 requests a second on
	// 400 nodes) and twice what it logs in bursts at present.
	linesPerSecond = 200
	// sampleOneIn is the sampling rate beyond linesPerSecond: one in sampleOneIn requests, or
	// lines without a request, passes.
	sampleOneIn = 10
	// maxMessages bounds the number of distinct messages that are counted. Messages are
	// constants of the program; lines of messages beyond the bound pass unsampled.
	maxMessages = 512
	// requestAttr is the attribute that holds the request ID of a line.
	requestAttr = "request"
	// skippedAttr is the attribute that holds how many lines of the same message were
	// dropped since the last one that passed.
	skippedAttr = "skipped"
)

// Sampler is a slog.Handler that samples repeated lines to limit the log volume. Lines are
// sampled by a hash of their request ID, which gives the same result on all nodes: all lines
// of a sampled request pass.
type Sampler struct {
	next  slog.Handler
	state *sampleState
	// requestHash is the hash of the request ID of all lines of this handler, valid if
	// hasRequest is set.
	requestHash uint64
	hasRequest  bool
}

// sampleState counts the lines of all handlers made from one Sampler.
type sampleState struct {
	mu       sync.Mutex
	messages map[string]*message
}

// message counts the lines of one message.
type message struct {
	// second is the current second, in Unix time, and lines the number of lines in it.
	second int64
	lines  int
	// skipped is the number of lines dropped since the last one that passed.
	skipped int
}

// NewSampler returns a Sampler that passes sampled lines to next.
func NewSampler(next slog.Handler) *Sampler {
	return &Sampler{next: next, state: &sampleState{messages: make(map[string]*message)}}
}

// Enabled implements slog.Handler.
func (s *Sampler) Enabled(ctx context.Context, level slog.Level) bool {
	return s.next.Enabled(ctx, level)
}

// Handle implements slog.Handler.
func (s *Sampler) Handle(ctx context.Context, r slog.Record) error {
	pass, skipped := s.state.count(r.Message, r.Time, s.inSample)
	if !pass {
		return nil
	}
	if skipped > 0 {
		r = r.Clone()
		r.AddAttrs(slog.Int(skippedAttr, skipped))
	}
	return s.next.Handle(ctx, r)
}

// inSample reports whether a line beyond linesPerSecond passes; n is its number within the
// second, which decides for lines without a request.
func (s *Sampler) inSample(n int) bool {
	if s.hasRequest {
		return s.requestHash%sampleOneIn == 0
	}
	return n%sampleOneIn == 0
}

// count counts a line and reports whether it passes, and how many lines of the same message
// were dropped since the last one that passed.
func (st *sampleState) count(text string, at time.Time, inSample func(n int) bool) (pass bool, skipped int) {
	st.mu.Lock()
	defer st.mu.Unlock()
	m := st.messages[text]
	if m == nil {
		if len(st.messages) >= maxMessages {
			return true, 0
		}
		m = &message{}
		st.messages[text] = m
	}
	if second := at.Unix(); second != m.second {
		m.second, m.lines = second, 0
	}
	m.lines++
	if m.lines > linesPerSecond && !inSample(m.lines) {
		m.skipped++
		return false, 0
	}
	skipped, m.skipped = m.skipped, 0
	return true, skipped
}

// WithAttrs implements slog.Handler.
func (s *Sampler) WithAttrs(attrs []slog.Attr) slog.Handler {
	out := *s
	out.next = s.next.WithAttrs(attrs)
	for _, a := range attrs {
		if a.Key == requestAttr {
			out.requestHash, out.hasRequest = xxhash.Sum64String(a.Value.String()), true
		}
	}
	return &out
}

// WithGroup implements slog.Handler.
func (s *Sampler) WithGroup(name string) slog.Handler {
	out := *s
	out.next = s.next.WithGroup(name)
	return &out
}
