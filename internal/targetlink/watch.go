package targetlink

import (
	"context"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

const (
	// watchInterval is how often the own path is looked at.
	watchInterval = 250 * time.Millisecond
	// silenceBeforeCheck is how long requests may wait without a byte from any target until the path is
	// checked by a connect.
	silenceBeforeCheck = 500 * time.Millisecond
	// checkInterval is the shortest time between two checks, and probeInterval that between two
	// connects that look whether a lost path is back.
	checkInterval = time.Second
	probeInterval = 500 * time.Millisecond
	// probeTimeout bounds these connects.
	probeTimeout = 250 * time.Millisecond
)

// Serve implements suture.Service. It checks the own path when open connections fall silent, as requests
// on them would otherwise be the only ones to notice, and looks whether a lost path is back.
func (d *Dialer) Serve(ctx context.Context) error {
	tick := time.NewTicker(watchInterval)
	defer tick.Stop()
	var checked time.Time
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case now := <-tick.C:
			switch {
			case d.Lost():
				if now.Sub(checked) >= probeInterval {
					checked = now
					d.probe(ctx, d.anyTargets(1))
				}
			case now.Sub(checked) >= checkInterval:
				if addr := d.direct.unanswered(silenceBeforeCheck); addr != "" {
					checked = now
					d.check(ctx, addr)
				}
			}
		}
	}
}

// check connects to a target that does not answer and, if that fails, to others.
func (d *Dialer) check(ctx context.Context, addr string) {
	if !d.probe(ctx, []string{addr}) {
		d.probe(ctx, d.anyTargets(lostAfter))
	}
}

// probe connects to targets, and reports whether it reached one.
func (d *Dialer) probe(ctx context.Context, addrs []string) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	reached := make([]bool, len(addrs))
	var wg sync.WaitGroup
	for i, addr := range addrs {
		wg.Go(func() {
			conn, err := d.dialDirect(ctx, "tcp", addr)
			if err != nil {
				return
			}
			reached[i] = true
			conn.Close()
		})
	}
	wg.Wait()
	return slices.Contains(reached, true)
}

// anyTargets returns the addresses of at most n listed targets, chosen at random.
func (d *Dialer) anyTargets(n int) []string {
	if d.others.Addresses == nil {
		return nil
	}
	addrs := d.others.Addresses()
	rand.Shuffle(len(addrs), func(i, j int) { addrs[i], addrs[j] = addrs[j], addrs[i] })
	return addrs[:min(n, len(addrs))]
}

// verify begins to connect to targets that have not failed lately, before a connect to addr that ended with o makes the own path
// count as lost: the targets that failed may have ended together. It returns false if there is no such target.
func (d *Dialer) verify(addr string, o Outcome) bool {
	others := slices.DeleteFunc(d.anyTargets(math.MaxInt), func(other string) bool { return other == addr || d.monitor.hasFailed(other) })
	if len(others) == 0 {
		return false
	}
	if !d.verifying.CompareAndSwap(false, true) {
		// The outcome of the check under way decides.
		return true
	}
	go func() {
		defer d.verifying.Store(false)
		if outcome := d.firstOutcome(others[:min(lostAfter, len(others))]); outcome.Outcome == Connected {
			d.judge(outcome.addr, Connected)
			return
		}
		d.judge(addr, o)
	}()
	return true
}

// dialOutcome is how a connect to a target ended.
type dialOutcome struct {
	addr string
	Outcome
}

// firstOutcome connects to targets at once, and returns the first success or else the last failure.
func (d *Dialer) firstOutcome(addrs []string) (out dialOutcome) {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	results := make(chan dialOutcome, len(addrs))
	for _, addr := range addrs {
		go func() {
			start := time.Now()
			conn, err := d.dial(ctx, "tcp", addr)
			if err == nil {
				conn.Close()
			}
			results <- dialOutcome{addr, outcomeOf(ctx, err, time.Since(start))}
		}()
	}
	for range addrs {
		if out = <-results; out.Outcome == Connected {
			return out
		}
	}
	return out
}
