package httpanswer

import (
	"io"
	"sync/atomic"
	"time"
)

const (
	// maxDrained bounds the bytes that are read of the body of a refusal.
	maxDrained = 16 << 10
	// drainTimeout bounds the time for it: the caller waits for another target meanwhile.
	drainTimeout = 50 * time.Millisecond
)

// Drain reads the body of a refusal to its end, so that its connection can be reused, and closes it. It fails if the body breaks off:
// the refusal is no answer then, and does not show that the request has not run. It leaves a body that is long or
// slow, of which nothing is known to be wrong.
func Drain(body io.ReadCloser) error {
	defer body.Close()
	var left atomic.Bool
	timer := time.AfterFunc(drainTimeout, func() {
		left.Store(true)
		body.Close()
	})
	defer timer.Stop()
	_, err := io.Copy(io.Discard, io.LimitReader(body, maxDrained))
	if left.Load() {
		return nil
	}
	return err
}
