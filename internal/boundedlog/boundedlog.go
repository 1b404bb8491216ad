// Package boundedlog writes log lines without ever blocking those who log:
// lines wait in a bounded buffer, and what does not fit is counted and reported
// with the next line that does.
package boundedlog

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// bufferBytes bounds the lines that wait: about 4,000 lines, a few seconds
	// of a node at full load.
	bufferBytes = 1 << 20
	// gather is how long lines are gathered for one write.
	gather = 20 * time.Millisecond
)

// Writer is an io.Writer that never blocks. Each Write must be one whole line.
type Writer struct {
	out     io.Writer
	dropped atomic.Int64
	total   atomic.Int64

	mu   sync.Mutex
	buf  bytes.Buffer
	wake chan struct{}
	done chan struct{}
	end  chan struct{}
	once sync.Once
}

// New returns a Writer to out and starts it.
func New(out io.Writer) *Writer {
	w := &Writer{out: out, wake: make(chan struct{}, 1), done: make(chan struct{}), end: make(chan struct{})}
	go w.run()
	return w
}

// Write implements io.Writer. It takes the line or drops it.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	if w.buf.Len()+len(line) > bufferBytes {
		w.mu.Unlock()
		w.dropped.Add(1)
		w.total.Add(1)
		return len(line), nil
	}
	w.buf.Write(line)
	w.mu.Unlock()
	select {
	case w.wake <- struct{}{}:
	default:
	}
	return len(line), nil
}

// Dropped returns the number of lines that were dropped so far.
func (w *Writer) Dropped() int64 { return w.total.Load() }

// Close writes what waits and ends the Writer.
func (w *Writer) Close() {
	w.once.Do(func() { close(w.end) })
	<-w.done
}

func (w *Writer) run() {
	defer close(w.done)
	for {
		select {
		case <-w.wake:
			time.Sleep(gather)
			w.flush()
		case <-w.end:
			w.flush()
			return
		}
	}
}

// flush writes all lines that wait. A failed write loses them: there is nowhere
// to report it.
func (w *Writer) flush() {
	w.mu.Lock()
	lines := bytes.Clone(w.buf.Bytes())
	w.buf.Reset()
	w.mu.Unlock()
	if n := w.dropped.Swap(0); n > 0 {
		lines = fmt.Appendf(lines, `{"time":%q,"level":"WARN","msg":"log lines dropped","lines":%d}`+"\n", time.Now().Format(time.RFC3339Nano), n)
	}
	_, _ = w.out.Write(lines)
}
