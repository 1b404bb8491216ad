package boundedlog

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"testing/synctest"

	qt "github.com/frankban/quicktest"
)

// stuck is a writer that blocks until it is let go.
type stuck struct {
	mu  sync.Mutex
	let chan struct{}
	out bytes.Buffer
}

func (s *stuck) Write(p []byte) (int, error) {
	<-s.let
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.out.Write(p)
}

func TestStuckOutputNeitherBlocksNorLosesUncounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		out := &stuck{let: make(chan struct{})}
		w := New(out)
		line := []byte(strings.Repeat("x", 1023) + "\n")
		const lines = 5000
		for range lines {
			n, err := w.Write(line)
			c.Assert(err, qt.IsNil)
			c.Assert(n, qt.Equals, len(line))
		}
		c.Assert(w.Dropped() > 0, qt.IsTrue)
		close(out.let)
		w.Close()
		written := int64(strings.Count(out.out.String(), "x\n"))
		c.Assert(written+w.Dropped(), qt.Equals, int64(lines))
		c.Assert(out.out.String(), qt.Contains, "log lines dropped")
	})
}
