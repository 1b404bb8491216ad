// Package boundedlog writes log lines without blocking the caller. Lines are held
// in a bounded buffer; those that do not fit are dropped, and the number of dropped
// lines is logged at the next flush.
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
	// bufferBytes bounds the buffered lines, in bytes: about 4,000 lines, which a
	// node at full load logs in a few seconds.
	bufferBytes = 1 << 20
	// flushDelay is how long lines are collected before they are written together.
	flushDelay = 20 * time.Millisecond
)

// Writer is an io.Writer whose Write never waits for the output. Each Write must be one whole line.
type Writer struct {
	out io.Writer
	// dropped counts the lines dropped since the last flush.
	dropped atomic.Int64
	// total counts all dropped lines.
	total atomic.Int64

	mu   sync.Mutex
	buf  bytes.Buffer
	wake chan struct{}
	done chan struct{}
	end  chan struct{}
	once sync.Once
}

// New returns a Writer to out and starts the goroutine that flushes it.
func New(out io.Writer) *Writer {
	w := &Writer{out: out, wake: make(chan struct{}, 1), done: make(chan struct{}), end: make(chan struct{})}
	go w.run()
	return w
}

// Write implements io.Writer. It buffers the line, or drops it if the
// buffer is full, and never returns an error.
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

// Close flushes the buffered lines and stops the Writer.
func (w *Writer) Close() {
	w.once.Do(func() { close(w.end) })
	<-w.done
}

// run flushes the buffer after writes, until Close.
func (w *Writer) run() {
	defer close(w.done)
	for {
		select {
		case <-w.wake:
			time.Sleep(flushDelay)
			w.flush()
		case <-w.end:
			w.flush()
			return
		}
	}
}

// flush writes all buffered lines, followed by a line that reports the dropped ones.
// If the write fails, the lines are lost and the error is ignored, as there is nowhere
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
