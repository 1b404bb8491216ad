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
	// answerLife is how long it is remembered whether a process has ended: as many calls as
	// ran there ask at once.
	answerLife = 2 * time.Second
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

func newGone(dial func(ctx context.Context, network, addr string) (net.Conn, error)) gone {
	return gone{dial: dial, asked: make(map[string]*question)}
}

// confirm reports whether a process has ended, within dialTimeout. It asks once for all who
// ask at the same time.
func (g *gone) confirm(process, addr string) bool {
	q := g.question(process, addr)
	<-q.done
	return q.ended
}

func (g *gone) question(process, addr string) *question {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	if now.Sub(g.swept) > answerLife {
		maps.DeleteFunc(g.asked, func(_ string, q *question) bool { return now.Sub(q.at) > answerLife })
		g.swept = now
	}
	if q := g.asked[process]; q != nil && now.Sub(q.at) <= answerLife {
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
