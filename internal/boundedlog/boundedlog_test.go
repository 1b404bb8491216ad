package boundedlog

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"testing/synctest"

	qt "github.com/frankban/quicktest"
)

// blockedWriter is a writer that blocks until release is closed.
type blockedWriter struct {
	mu      sync.Mutex
	release chan struct{}
	out     bytes.Buffer
}

func (s *blockedWriter) Write(p []byte) (int, error) {
	<-s.release
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.out.Write(p)
}

func TestStuckOutputNeitherBlocksNorLosesUncounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		out := &blockedWriter{release: make(chan struct{})}
		w := New(out)
		line := []byte(strings.Repeat("x", 1023) + "\n")
		const lines = 5000
		for range lines {
			n, err := w.Write(line)
			c.Assert(err, qt.IsNil)
			c.Assert(n, qt.Equals, len(line))
		}
		c.Assert(w.Dropped() > 0, qt.IsTrue)
		close(out.release)
		w.Close()
		written := int64(strings.Count(out.out.String(), "x\n"))
		c.Assert(written+w.Dropped(), qt.Equals, int64(lines))
		c.Assert(out.out.String(), qt.Contains, "log lines dropped")
	})
}
