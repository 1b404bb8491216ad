package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"topazmoor/internal/store"
	"topazmoor/platform/standin"
)

// The case versions: a node is partitioned from the store, servers of a second version start, and the
// processes of other nodes are killed, so that callers resume their streams at the partitioned node.
const (
	// followedFor is how long the nodes run first. A node takes its list of targets for complete after
	// a minute.
	followedFor = 63 * time.Second
	// streamEvents events in eventInterval are a stream of 4 s.
	streamEvents  = 40
	eventInterval = 100 * time.Millisecond
	// streamsPerS is how many streams begin in a second at each node.
	streamsPerS = 15
	// enginesPerVersion is the number of servers of each version.
	enginesPerVersion = 4
	// releaseAfter, killAfter and healAfter count from the begin of the partition; loadAfter is how long
	// new streams begin.
	releaseAfter = 200 * time.Millisecond
	killAfter    = 2 * time.Second
	healAfter    = 5500 * time.Millisecond
	loadBefore   = time.Second
	loadAfter    = 3 * time.Second
	// pollTimeout bounds the wait for the next call of the node to the store.
	pollTimeout = 5 * time.Second
	// partitioned is the index of the node that is partitioned from the store; the first killed nodes
	// are killed.
	partitioned = 5
	killed      = 3
	// maxMixed is how many streams the rule ORDER lets hold events of two versions.
	maxMixed = 2
)

// streamPath is the path of the streams.
const streamPath = "/turno/"

// fleetZones are the zones of the nodes: those of the installation ras-despacho.
var fleetZones = []string{"hall-rg", "hall-pgua", "hall-rg", "hall-pgua", "hall-itj", "hall-poa"}

// callerStream is one stream of a caller, over all its attempts.
type callerStream struct {
	id string
	// versions are those of the servers that wrote the events, attempts the nodes that were asked.
	versions map[string]int
	attempts []string
	last     int
	// broken is set if the first answer broke off, lastBefore is the last event of that.
	broken     bool
	lastBefore int
}

// versionsCase is the state of the case.
type versionsCase struct {
	e     *environment
	w     *world
	nodes fleet

	mu      sync.Mutex
	streams []*callerStream
	// dead has the nodes that were killed.
	dead map[string]bool
	// polled is signaled at each call of the partitioned node for changes of the list of servers.
	polled chan struct{}
	ids    atomic.Int64
}

func newVersionsCase(e *environment) *versionsCase {
	return &versionsCase{e: e, dead: make(map[string]bool), polled: make(chan struct{}, 1)}
}

func playVersions(ctx context.Context, e *environment) (broken bool, err error) {
	c := newVersionsCase(e)
	if c.w, err = newWorld(); err != nil {
		return false, err
	}
	defer func() { err = errors.Join(err, c.w.close()) }()
	if err := c.configure(ctx); err != nil {
		return false, err
	}
	c.nodes, err = startFleet(ctx, e, fleetZones, c.w.storeAddr, c.sawCall)
	defer func() { err = errors.Join(err, c.nodes.stop()) }()
	if err != nil {
		return false, err
	}
	if !sleep(ctx, followedFor) {
		return false, ctx.Err()
	}
	if err := c.disrupt(ctx); err != nil {
		return false, err
	}
	return c.judge()
}

// sawCall notes calls of the partitioned node for changes of the list of servers.
func (c *versionsCase) sawCall(i int, sent []byte) {
	if i != partitioned || !strings.Contains(string(sent), "/rows-feed") || !strings.Contains(string(sent), "table=servers") {
		return
	}
	select {
	case c.polled <- struct{}{}:
	default:
	}
}

func (c *versionsCase) configure(ctx context.Context) error {
	for i := range enginesPerVersion {
		if err := c.startEngine("v1", i); err != nil {
			return err
		}
	}
	route := map[string]any{
		"name": "turno", "host": callerHost, "prefix": streamPath, "kind": "stream", "service": engines, "timeoutMs": 20000, "sloMs": 3600,
		"priority": 0, "maxAttempts": 2, "resumable": true, "targetGapMs": 500, "sticky": true, "public": false,
	}
	service := map[string]any{
		"name": engines, "healthPath": "/healthz", "maxConnections": 610,
		"engine": map[string]any{"slots": 128, "kvCapacityTokens": 286093},
	}
	return c.w.putConfig(ctx, 1, []any{route}, []any{service})
}

// startEngine starts a server of a version, which registers itself.
func (c *versionsCase) startEngine(version string, i int) error {
	s := &standin.Server{ID: fmt.Sprintf("i-%s-%d", version, i), Work: eventInterval, Events: streamEvents, Version: version, Stamped: true}
	addr, err := c.w.serve(s)
	if err != nil {
		return err
	}
	s.Addr = addr
	c.w.memory.SetHost(store.Host{ID: s.ID, Addr: addr, Pool: engines, DataCentre: fleetZones[i%len(fleetZones)], Slots: 128, State: store.Live, Version: version})
	c.e.record.write("server %s of version %s registers at %s", s.ID, version, addr)
	return nil
}

// disrupt plays the partition, the new version, the kills and the callers.
func (c *versionsCase) disrupt(ctx context.Context) error {
	loadCtx, cancel := context.WithTimeout(ctx, loadBefore+pollTimeout+loadAfter)
	defer cancel()
	var callers sync.WaitGroup
	for _, n := range c.nodes {
		callers.Go(func() { c.beginStreams(loadCtx, ctx, n, &callers) })
	}
	if !sleep(ctx, loadBefore) {
		return ctx.Err()
	}
	if err := c.awaitPoll(ctx); err != nil {
		return err
	}
	began := time.Now()
	if c.e.trouble {
		c.nodes[partitioned].toStore.silence()
		c.e.record.write("node %s is partitioned from the store", c.nodes[partitioned].name)
	}
	steps := []struct {
		at   time.Duration
		play func() error
	}{{releaseAfter, c.release}, {killAfter, c.killNodes}, {loadAfter, func() error { cancel(); return nil }}, {healAfter, c.heal}}
	for _, step := range steps {
		if !sleep(ctx, time.Until(began.Add(step.at))) {
			return ctx.Err()
		}
		if err := step.play(); err != nil {
			return err
		}
	}
	callers.Wait()
	return nil
}

// awaitPoll waits until the partitioned node has just asked the store for changes of the list.
func (c *versionsCase) awaitPoll(ctx context.Context) error {
	select {
	case <-c.polled:
	default:
	}
	select {
	case <-c.polled:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(pollTimeout):
		return errors.New("the node does not ask the store for changes")
	}
}

// release starts the servers of the new version.
func (c *versionsCase) release() error {
	for i := range enginesPerVersion {
		if err := c.startEngine("v2", i); err != nil {
			return err
		}
	}
	return nil
}

func (c *versionsCase) killNodes() error {
	if !c.e.trouble {
		return nil
	}
	for _, n := range c.nodes[:killed] {
		c.e.record.write("node %s is killed", n.name)
		c.killNode(n)
	}
	return nil
}

// killNode kills a node; callers do not come to it any more.
func (c *versionsCase) killNode(n *node) {
	c.mu.Lock()
	c.dead[n.name] = true
	c.mu.Unlock()
	n.kill()
}

func (c *versionsCase) heal() error {
	c.nodes[partitioned].toStore.resume()
	c.e.record.write("node %s reaches the store again", c.nodes[partitioned].name)
	return nil
}

// beginStreams begins streams at a node until load ends or the node is killed.
func (c *versionsCase) beginStreams(load, ctx context.Context, n *node, callers *sync.WaitGroup) {
	for sleep(load, time.Duration(rand.ExpFloat64()*float64(time.Second)/streamsPerS)) {
		if c.isDead(n) {
			return
		}
		s := &callerStream{id: fmt.Sprintf("%016x", c.ids.Add(1)), versions: make(map[string]int)}
		c.mu.Lock()
		c.streams = append(c.streams, s)
		c.mu.Unlock()
		callers.Go(func() { c.play(ctx, s, n) })
	}
}

func (c *versionsCase) isDead(n *node) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.dead[n.name]
}

// play runs a stream at a node, and resumes it once at another node if its channel breaks.
func (c *versionsCase) play(ctx context.Context, s *callerStream, n *node) {
	if c.attempt(ctx, s, n, s.id) || s.last == 0 {
		return
	}
	s.broken, s.lastBefore = true, s.last
	c.attempt(ctx, s, c.otherNode(n), s.id+"r")
}

// otherNode returns a random node that runs, other than n.
func (c *versionsCase) otherNode(n *node) *node {
	var others []*node
	for _, other := range c.nodes {
		if other != n && !c.isDead(other) {
			others = append(others, other)
		}
	}
	return others[rand.IntN(len(others))]
}

// attempt is one attempt of a caller. It reports whether the stream is complete, or was refused.
func (c *versionsCase) attempt(ctx context.Context, s *callerStream, n *node, id string) bool {
	s.attempts = append(s.attempts, n.name)
	header := map[string]string{
		"Topazmoor-Request-Deadline": "20000", "Topazmoor-Model": "m", "Topazmoor-Token-Counts": "700,120",
		"Topazmoor-Prompt-Prefix": "5c1e07a2:172," + s.id + ":528",
	}
	if s.last > 0 {
		header["Last-Event-Id"], header["Resumes"] = strconv.Itoa(s.last), s.id
	}
	req, err := newRequest(ctx, n, http.MethodPost, streamPath+"2f", id, "", header)
	if err != nil {
		c.e.record.write("request %s not built: %v", id, err)
		return true
	}
	c.e.record.write("sent %s to %s, after event %d", id, n.name, s.last)
	resp, err := send(req)
	if err != nil {
		c.e.record.write("no answer to %s: %v", id, err)
		return false
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		c.e.record.write("answer to %s: status %d", id, resp.StatusCode)
		return true
	}
	readErr := s.read(resp)
	c.e.record.write("answer to %s by %s: last event %d of %d, versions so far %v, error %v", id, resp.Header.Get("Topazmoor-Server-Signature"), s.last, streamEvents, s.versions, readErr)
	return s.last == streamEvents
}

// read reads the events of an answer: "id: N", "data: by VERSION", an empty line.
func (s *callerStream) read(resp *http.Response) error {
	lines := bufio.NewScanner(resp.Body)
	event, version := 0, ""
	for lines.Scan() {
		line := lines.Text()
		switch {
		case strings.HasPrefix(line, "id: "):
			n, err := strconv.Atoi(strings.TrimPrefix(line, "id: "))
			if err != nil {
				return err
			}
			event = n
		case strings.HasPrefix(line, "data: "):
			version = line[strings.LastIndex(line, " ")+1:]
		case line == "" && event > 0:
			s.last = event
			s.versions[version]++
		}
	}
	return lines.Err()
}

// judge applies the rule ORDER: more than two streams hold events from servers of two software versions.
func (c *versionsCase) judge() (broken bool, err error) {
	began, brokenOff, mixed := 0, 0, 0
	for _, s := range c.streams {
		if s.last > 0 {
			began++
		}
		if s.broken {
			brokenOff++
		}
		if len(s.versions) > 1 {
			mixed++
			c.e.record.write("stream %s holds events of two versions %v, from nodes %v", s.id, s.versions, s.attempts)
		}
	}
	c.e.record.write("%d streams, %d broke off, %d hold events of two versions (%d are allowed)", began, brokenOff, mixed, maxMixed)
	fmt.Printf("%d streams, %d broke off, %d hold events of two versions\n", began, brokenOff, mixed)
	if began == 0 {
		return false, errors.New("no stream began")
	}
	return mixed > maxMixed, nil
}
