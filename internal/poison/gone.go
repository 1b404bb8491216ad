package poison

import (
	"context"
	"maps"
	"net"
	"sync"
	"time"
)

const (
	// dialTimeout is how long a target may take to accept a connection before its process counts as
	// ended. A round trip takes 1 to 3 ms.
	dialTimeout = 250 * time.Millisecond
	// aliveTTL is how long the result that a process runs is reused: all calls that ran at the
	// process may check it at once.
	aliveTTL = time.Second
	// endedTTL is how long the result that a process ended is kept. No request is sent to the
	// process once it has left the list of targets.
	endedTTL = 30 * time.Second
)

// endDetector checks whether processes of targets have ended. A broken connection does not show it:
// the connection may have been reset on its way, or by a target that fails some of its answers. A
// process that has ended no longer accepts connections.
type endDetector struct {
	dial func(ctx context.Context, network, addr string) (net.Conn, error)

	mu sync.Mutex
	// swept is when expired results were last removed.
	swept  time.Time
	checks map[string]*processCheck
}

// processCheck is one attempt to connect to a process.
type processCheck struct {
	done  chan struct{}
	ended bool
	at    time.Time
}

// expired reports whether the result is too old to be reused. An unfinished check is never expired.
func (q *processCheck) expired(now time.Time) bool {
	select {
	case <-q.done:
	default:
		return false
	}
	if q.ended {
		return now.Sub(q.at) > endedTTL
	}
	return now.Sub(q.at) > aliveTTL
}

func newEndDetector(dial func(ctx context.Context, network, addr string) (net.Conn, error)) endDetector {
	return endDetector{dial: dial, checks: make(map[string]*processCheck)}
}

// endedUnder reports, within dialTimeout, whether a process has ended during a run that began at
// began. Concurrent callers share one check. The result is false for a run that began after the
// process was found to have ended: such a run is no evidence against its request.
func (g *endDetector) endedUnder(process, addr string, began time.Time) bool {
	q := g.processCheck(process, addr)
	<-q.done
	return q.ended && began.Before(q.at)
}

func (g *endDetector) processCheck(process, addr string) *processCheck {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	if now.Sub(g.swept) > aliveTTL {
		maps.DeleteFunc(g.checks, func(_ string, q *processCheck) bool { return q.expired(now) })
		g.swept = now
	}
	if q := g.checks[process]; q != nil && !q.expired(now) {
		return q
	}
	q := &processCheck{done: make(chan struct{}), at: now}
	g.checks[process] = q
	go func() {
		defer close(q.done)
		ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
		defer cancel()
		conn, err := g.dial(ctx, "tcp", addr)
		if err != nil {
			q.ended = true
			return
		}
		conn.Close()
	}()
	return q
}
