package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"topazmoor/platform/standin"
)

const (
	// resumed is the number of streams at the loss of power, and of the new ones that begin when these are resumed.
	resumed = 16
	// longEvents is the number of events of a stream.
	longEvents = 120
	// powerAfter is when the nodes lose power, after the streams began, downFor for how long.
	powerAfter = 3 * time.Second
	downFor    = 640 * time.Millisecond
	// gapLimit is the gap after which a client abandons a stream: the longest of 2 s, four times the objective of
	// 1 s and eight times the pause of 500 ms.
	gapLimit = 4 * time.Second
	// stable is how long a node must have run to be in touch.
	stable = 3 * time.Second
	// minResumed and goesOnShare are those of the rule.
	minResumed  = 12
	goesOnShare = 0.5
)

// powerCase is the state of the case.
type powerCase struct {
	w   *world
	vip *vip
	// startedAt is when the nodes started last.
	startedAt time.Time
}

// runPower cuts the power of all nodes in the middle of streams of a service with two versions.
func runPower(rec *record, trouble bool) (result, error) {
	w, err := newWorld(rec)
	if err != nil {
		return notRun, err
	}
	defer w.end()
	config := streamConfig()
	config["routes"].([]any)[0].(map[string]any)["sloMs"] = 1000
	if err := w.putConfig(config); err != nil {
		return notRun, err
	}
	for i, version := range []string{"1", "1", "2", "2"} {
		if err := w.addServer("engines", 128, &standin.Server{ID: fmt.Sprint("i-", i+1), Version: version, Stamped: true, Events: longEvents, Work: eventTime}); err != nil {
			return notRun, err
		}
	}
	if err := w.addNodes(nodes); err != nil {
		return notRun, err
	}
	x := &powerCase{w: w, startedAt: time.Now()}
	if x.vip, err = w.newVIP(); err != nil {
		return notRun, err
	}
	time.Sleep(stable)
	streams := x.begin("old", resumed)
	time.Sleep(powerAfter)
	if trouble {
		if err := x.losePower(); err != nil {
			return notRun, err
		}
	} else {
		x.breakChannels(streams)
	}
	time.Sleep(gapLimit)
	fresh := x.begin("new", resumed)
	for _, s := range append(append([]*longStream(nil), streams...), fresh...) {
		<-s.done
	}
	return x.judge(streams, fresh), nil
}

// losePower kills all nodes, without a word to the clients, and starts them again.
func (x *powerCase) losePower() error {
	x.vip.dark.Store(true)
	x.w.rec.logf("platform: all nodes lose power")
	for _, n := range x.w.nodes {
		n.kill()
	}
	time.Sleep(downFor)
	for _, n := range x.w.nodes {
		if err := n.start(); err != nil {
			return err
		}
	}
	x.startedAt = time.Now()
	x.w.rec.logf("platform: all nodes start again")
	return nil
}

// breakChannels has the clients resume their streams though nothing has happened to the nodes.
func (x *powerCase) breakChannels(streams []*longStream) {
	x.w.rec.logf("clients: all leave their channels and resume their streams after %v", gapLimit)
	for _, s := range streams {
		s.leave()
	}
}

// longStream is one client with one stream, which it resumes once.
type longStream struct {
	x        *powerCase
	name     string
	deadline time.Time
	leave    context.CancelFunc
	done     chan struct{}
	first    string
	last     string
	// began is set once the first try brought an event. again is set once it was resumed at nodes in touch, wentOn
	// once that brought an event.
	began, again, wentOn bool
}

// begin starts clients.
func (x *powerCase) begin(kind string, n int) []*longStream {
	out := make([]*longStream, n)
	for i := range out {
		ctx, leave := context.WithCancel(context.Background())
		s := &longStream{x: x, name: fmt.Sprintf("%s-%d", kind, i), deadline: time.Now().Add(callerTimeout), leave: leave, done: make(chan struct{})}
		out[i] = s
		go s.run(ctx, kind == "old", i)
	}
	return out
}

// run sends the request; resumes it once, after a gap, if it is to.
func (s *longStream) run(ctx context.Context, resumes bool, number int) {
	defer close(s.done)
	id := fmt.Sprintf("%016x", 0xc0ffee0000+number)
	if !resumes {
		id = fmt.Sprintf("%016x", 0xfeed000000+number)
	}
	err := s.try(ctx, id, func() { s.began = true })
	s.x.w.rec.logf("client %s: request %s ends after event %q: %v", s.name, id, s.last, err)
	if !resumes || s.last == "" || s.last == fmt.Sprint(longEvents) {
		return
	}
	if ctx.Err() != nil {
		time.Sleep(gapLimit)
	}
	s.again = time.Since(s.x.startedAt) > stable
	id = fmt.Sprintf("%016x", 0xc0ffee1000+number)
	err = s.try(context.Background(), id, func() { s.wentOn = true })
	s.x.w.rec.logf("client %s: request %s, which resumes, %.1f s after the nodes started, ends after event %q: %v", s.name, id, time.Since(s.x.startedAt).Seconds(), s.last, err)
}

// try sends the request once and reads its events until the end, or a gap of gapLimit.
func (s *longStream) try(ctx context.Context, id string, first func()) error {
	ctx, cancel := context.WithDeadline(ctx, s.deadline)
	defer cancel()
	gap := time.AfterFunc(gapLimit, cancel)
	defer gap.Stop()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+s.x.vip.ln.Addr().String()+"/plan/a", http.NoBody)
	if err != nil {
		return err
	}
	req.Host = host
	for name, value := range map[string]string{
		"Topazmoor-Request-Id": id, "Topazmoor-Request-Deadline": fmt.Sprint(time.Until(s.deadline).Milliseconds()), "Authorization": "Token " + key,
		"Topazmoor-Model": "m", "Topazmoor-Token-Counts": "700,360", "Topazmoor-Prompt-Prefix": "5c1e07a2:400," + id[6:] + ":300",
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
	once := sync.OnceFunc(first)
	for lines.Scan() {
		if e, ok := strings.CutPrefix(lines.Text(), "id: "); ok {
			if s.first == "" {
				s.first = id
			}
			s.last = e
			gap.Reset(gapLimit)
			once()
		}
	}
	if lines.Err() == nil && s.last != fmt.Sprint(longEvents) {
		return errors.New("the answer ends before the last event")
	}
	return lines.Err()
}

// judge compares the share of the resumed streams that go on with that of the new ones that begin.
func (x *powerCase) judge(streams, fresh []*longStream) result {
	again, wentOn, began := 0, 0, 0
	for _, s := range streams {
		if s.again {
			again++
		}
		if s.again && s.wentOn {
			wentOn++
		}
	}
	for _, s := range fresh {
		if s.began {
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
