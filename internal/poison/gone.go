package poison

import (
	"context"
	"maps"
	"net"
	"sync"
	"time"
)

const (
	// dialTimeout is how long a target may take to accept a connection before it counts as
	// ended: one round trip of 1 to 3 ms.
	dialTimeout = 250 * time.Millisecond
	// aliveLife is how long it is believed that a process runs: as many calls as ran there
	// ask at once.
	aliveLife = time.Second
	// endedLife is how long it is remembered when a process ended; nobody sends to it for
	// longer than it stands in the list of targets.
	endedLife = 30 * time.Second
)

// gone finds out whether processes of targets have ended. A connection that breaks off may
// also have been reset on its way, or by a target that spoils some of its answers; where the
// process has ended nobody listens any more.
type gone struct {
	dial func(ctx context.Context, network, addr string) (net.Conn, error)

	mu sync.Mutex
	// swept is when old answers were last forgotten.
	swept time.Time
	asked map[string]*question
}

// question is one attempt to reach a process.
type question struct {
	done  chan struct{}
	ended bool
	at    time.Time
}

// old reports whether the answer is no longer believed. While it is open it is not.
func (q *question) old(now time.Time) bool {
	select {
	case <-q.done:
	default:
		return false
	}
	if q.ended {
		return now.Sub(q.at) > endedLife
	}
	return now.Sub(q.at) > aliveLife
}

func newGone(dial func(ctx context.Context, network, addr string) (net.Conn, error)) gone {
	return gone{dial: dial, asked: make(map[string]*question)}
}

// endedUnder reports whether a process has ended while a run that began at a moment was
// there, within dialTimeout. It asks once for all who ask at the same time. A run that began
// when the process was known to have ended says nothing of its request.
func (g *gone) endedUnder(process, addr string, began time.Time) bool {
	q := g.question(process, addr)
	<-q.done
	return q.ended && began.Before(q.at)
}

func (g *gone) question(process, addr string) *question {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	if now.Sub(g.swept) > aliveLife {
		maps.DeleteFunc(g.asked, func(_ string, q *question) bool { return q.old(now) })
		g.swept = now
	}
	if q := g.asked[process]; q != nil && !q.old(now) {
		return q
	}
	q := &question{done: make(chan struct{}), at: now}
	g.asked[process] = q
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
