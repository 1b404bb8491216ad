package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"

	"topazmoor/platform/standin"
)

const (
	// rolledStreams is the number of streams of the client, and of the new ones that begin when these are resumed.
	rolledStreams = 24
	// longEvents is the number of events of a stream.
	longEvents = 120
	// stable is how long a node must have run to be in touch.
	stable = 3 * time.Second
	// minResumed and goesOnShare are those of the rule.
	minResumed  = 12
	goesOnShare = 0.5
	// rollGap is the time between the stops of two nodes, restartPause the time until an ended process starts again.
	rollGap      = time.Second
	restartPause = 300 * time.Millisecond
	// stopAfter is when the first node gets SIGTERM, after the streams began.
	stopAfter = time.Second
	// resumeAfter is how long a client waits before it resumes a stream that has broken off.
	resumeAfter = 600 * time.Millisecond
	// leftAfter is when the clients leave their channels by themselves, where no node stops.
	leftAfter = 8600 * time.Millisecond
	// nodeInterval is an interval at which a node does something from its start on; the streams begin phase after it.
	nodeInterval = 5 * time.Second
	phase        = 400 * time.Millisecond
)

// rollingCase is the state of the case.
type rollingCase struct {
	w *world
	// home is the node to which the balancer gives all connections of the client, until it stops.
	home *node

	mu sync.Mutex
	// startedAt is when each node's process started last.
	startedAt map[*node]time.Time
}

// runRolling stops all nodes in turn and starts them again, while a client has streams of a service with two versions.
func runRolling(rec *record, trouble bool) (result, error) {
	w, err := newWorld(rec)
	if err != nil {
		return notRun, err
	}
	defer w.end()
	if err := w.putConfig(streamConfig()); err != nil {
		return notRun, err
	}
	for i, version := range []string{"1", "1", "2", "2"} {
		if err := w.addServer("engines", 128, &standin.Server{ID: fmt.Sprint("i-", i+1), Version: version, Stamped: true, Events: longEvents, Work: eventTime}); err != nil {
			return notRun, err
		}
	}
	started := time.Now()
	if err := w.addNodes(nodes); err != nil {
		return notRun, err
	}
	x := &rollingCase{w: w, home: w.nodes[0], startedAt: make(map[*node]time.Time)}
	for _, n := range w.nodes {
		x.startedAt[n] = started
	}
	time.Sleep(time.Until(started.Add(2*nodeInterval + phase)))
	old := x.begin("old", rolledStreams)
	var wg sync.WaitGroup
	if trouble {
		wg.Go(x.stopInTurn)
	} else {
		time.AfterFunc(leftAfter, func() { x.leave(old) })
	}
	time.Sleep(leftAfter + resumeAfter)
	x.home = nil
	fresh := x.begin("new", rolledStreams)
	for _, s := range append(append([]*rolledStream(nil), old...), fresh...) {
		<-s.done
	}
	wg.Wait()
	return x.judge(old, fresh), nil
}

// stopInTurn sends SIGTERM to the nodes, one each rollGap, and starts each again when its process has ended.
func (x *rollingCase) stopInTurn() {
	time.Sleep(stopAfter)
	var wg sync.WaitGroup
	for _, n := range x.w.nodes {
		wg.Go(func() { x.restart(n) })
		time.Sleep(rollGap)
	}
	wg.Wait()
}

func (x *rollingCase) restart(n *node) {
	x.w.rec.logf("platform: %s gets SIGTERM", n.name)
	// It may have ended.
	_ = n.cmd.Process.Signal(syscall.SIGTERM)
	<-n.ended
	x.w.rec.logf("%s has ended", n.name)
	time.Sleep(restartPause)
	if err := n.start(); err != nil {
		x.w.rec.logf("%s not started: %v", n.name, err)
		return
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	x.startedAt[n] = time.Now()
	x.w.rec.logf("platform: %s starts again", n.name)
}

func (x *rollingCase) leave(streams []*rolledStream) {
	x.w.rec.logf("client: leaves its channels")
	for _, s := range streams {
		s.leave()
	}
}

// uptime returns for how long a node's process has run.
func (x *rollingCase) uptime(n *node) time.Duration {
	x.mu.Lock()
	defer x.mu.Unlock()
	return time.Since(x.startedAt[n])
}

// rolledStream is one stream of the client, which resumes it once.
type rolledStream struct {
	x        *rollingCase
	name     string
	number   int
	deadline time.Time
	leave    context.CancelFunc
	done     chan struct{}
	// first is the ID of the try that brought the first event, last the ID of the last event.
	first, last string
	// again is set once it was resumed at a node in touch, wentOn once that brought an event.
	again, wentOn bool
}

func (x *rollingCase) begin(kind string, n int) []*rolledStream {
	out := make([]*rolledStream, n)
	for i := range out {
		ctx, leave := context.WithCancel(context.Background())
		out[i] = &rolledStream{x: x, name: kind, number: i, deadline: time.Now().Add(callerTimeout), leave: leave, done: make(chan struct{})}
		go out[i].run(ctx)
	}
	return out
}

// run sends the request, and resumes the stream once if it breaks off.
func (s *rolledStream) run(ctx context.Context) {
	defer close(s.done)
	n := s.x.home
	if n == nil {
		n = s.x.w.balance(s.number, s.deadline)
	}
	if n == nil {
		return
	}
	err := s.try(ctx, n, fmt.Sprintf("%s%012x", map[string]string{"old": "c0ff", "new": "feed"}[s.name], s.number), func() {})
	s.x.w.rec.logf("client, %s stream %d: ends at %s after event %q: %v", s.name, s.number, n.name, s.last, err)
	if s.name != "old" || s.last == "" || s.last == fmt.Sprint(longEvents) {
		return
	}
	time.Sleep(resumeAfter)
	if n = s.x.w.balance(s.number+1, s.deadline); n == nil {
		return
	}
	up := s.x.uptime(n)
	s.again = up > stable
	after := s.last
	err = s.try(context.Background(), n, fmt.Sprintf("c0ff1%011x", s.number), func() { s.wentOn = true })
	s.x.w.rec.logf("client, %s stream %d: resumed after event %q at %s, which has run for %.1f s, ends after event %q: %v", s.name, s.number, after, n.name, up.Seconds(), s.last, err)
}

// try sends the request once and reads its events until the end. event is called for each.
func (s *rolledStream) try(ctx context.Context, n *node, id string, event func()) error {
	ctx, cancel := context.WithDeadline(ctx, s.deadline)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+n.callerAddr()+"/plan/a", http.NoBody)
	if err != nil {
		return err
	}
	req.Host = host
	for name, value := range map[string]string{
		"Topazmoor-Request-Id": id, "Topazmoor-Request-Deadline": fmt.Sprint(time.Until(s.deadline).Milliseconds()), "Authorization": "Token " + key,
		"Topazmoor-Model": "m", "Topazmoor-Token-Counts": "700,360", "Topazmoor-Prompt-Prefix": "5c1e07a2:400," + id[4:] + ":300",
	} {
		req.Header.Set(name, value)
	}
	if s.last != "" {
		req.Header.Set("Last-Event-Id", s.last)
		req.Header.Set("Resumes", s.first)
	}
	resp, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d", resp.StatusCode)
	}
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		if e, ok := strings.CutPrefix(lines.Text(), "id: "); ok {
			if s.first == "" {
				s.first = id
			}
			s.last = e
			event()
		}
	}
	if lines.Err() == nil && s.last != fmt.Sprint(longEvents) {
		return errors.New("the answer ends before the last event")
	}
	return lines.Err()
}

// judge compares the share of the resumed streams that go on with that of the new ones that begin.
func (x *rollingCase) judge(old, fresh []*rolledStream) result {
	again, wentOn, began := 0, 0, 0
	for _, s := range old {
		if s.again {
			again++
		}
		if s.again && s.wentOn {
			wentOn++
		}
	}
	for _, s := range fresh {
		if s.last != "" {
			began++
		}
	}
	x.w.rec.logf("%d streams resumed at nodes in touch, %d went on; %d of %d new streams began", again, wentOn, began, len(fresh))
	if again < minResumed || began == 0 {
		return notRun
	}
	if float64(wentOn)/float64(again) < goesOnShare*float64(began)/float64(len(fresh)) {
		return broken
	}
	return held
}
