package targetlink

import (
	"context"
	"net"
	"time"
)

// way connects to a target over one path.
type way struct {
	// direct is set for the node's own path.
	direct bool
	dial   func(ctx context.Context) (net.Conn, error)
}

// attempt is the result of one way.
type attempt struct {
	way
	conn net.Conn
	err  error
}

// race tries ways in turn: the next one when the last one failed, or gave no answer within delay. The
// first connection wins. If there is none, the error is that of the own path, as only that one is an
// observation of the target, else the last one.
func race(ctx context.Context, delay time.Duration, ways []way) (net.Conn, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan attempt, len(ways))
	running := 0
	next := time.NewTimer(0)
	defer next.Stop()
	var err error
	own := false
	for running > 0 || len(ways) > 0 {
		select {
		case <-next.C:
			if len(ways) > 0 {
				start(ctx, ways[0], results)
				ways = ways[1:]
				running++
				next.Reset(delay)
			}
		case a := <-results:
			running--
			if a.err == nil {
				go closeRest(results, running)
				return a.conn, nil
			}
			if !own {
				err, own = a.err, a.direct
			}
			if ctx.Err() != nil {
				go closeRest(results, running)
				return nil, err
			}
			next.Reset(0)
		}
	}
	return nil, err
}

func start(ctx context.Context, w way, results chan<- attempt) {
	go func() {
		conn, err := w.dial(ctx)
		results <- attempt{w, conn, err}
	}()
}

// closeRest closes the connections of ways that were still running.
func closeRest(results <-chan attempt, running int) {
	for range running {
		if a := <-results; a.err == nil {
			a.conn.Close()
		}
	}
}
