package boundedlog

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// linesPerSecond is how many lines of one message pass in a second: ten times what
	// a node logs at the peak of the size to design for (3,300 requests a second on 400
	// nodes) and twice what it logs in the bursts of today.
	linesPerSecond = 200
	// keepOneIn is the share of the lines beyond it that pass.
	keepOneIn = 10
	// maxMessages bounds the messages that are counted. Messages are constants of the
	// program; those beyond the bound pass.
	maxMessages = 512
	// requestAttr is the attribute that names the request of a line.
	requestAttr = "request"
	// skippedAttr tells on a line how many of its message were left out before it.
	skippedAttr = "skipped"
)

// Sampler is a slog.Handler that lets only a share of repeated lines pass, so that the
// volume is bounded whatever happens. Which requests are left out is drawn once by
// request, the same at all nodes: of those that are kept all lines pass.
type Sampler struct {
	next  slog.Handler
	state *sampleState
	// request is the hash of the request of all lines of this handler; only of use
	// where named is set.
	request uint64
	named   bool
}

// sampleState counts the lines of all handlers made from one Sampler.
type sampleState struct {
	mu       sync.Mutex
	messages map[string]*message
}

// message counts the lines of one message in the current second.
type message struct {
	second  int64
	lines   int
	skipped int
}

// NewSampler returns a Sampler that passes lines on to next.
func NewSampler(next slog.Handler) *Sampler {
	return &Sampler{next: next, state: &sampleState{messages: make(map[string]*message)}}
}

// Enabled implements slog.Handler.
func (s *Sampler) Enabled(ctx context.Context, level slog.Level) bool {
	return s.next.Enabled(ctx, level)
}

// Handle implements slog.Handler.
func (s *Sampler) Handle(ctx context.Context, r slog.Record) error {
	pass, skipped := s.state.count(r.Message, r.Time, s.kept)
	if !pass {
		return nil
	}
	if skipped > 0 {
		r = r.Clone()
		r.AddAttrs(slog.Int(skippedAttr, skipped))
	}
	return s.next.Handle(ctx, r)
}

// kept reports whether a line beyond the bound passes; n is its number.
func (s *Sampler) kept(n int) bool {
	if s.named {
		return s.request%keepOneIn == 0
	}
	return n%keepOneIn == 0
}

// count takes in a line and tells whether it passes, and how many of its message were
// left out since the last one that did.
func (st *sampleState) count(text string, at time.Time, kept func(n int) bool) (pass bool, skipped int) {
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
	if m.lines > linesPerSecond && !kept(m.lines) {
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
			out.request, out.named = xxhash.Sum64String(a.Value.String()), true
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
