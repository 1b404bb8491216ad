package relay

import (
	"context"
	"io"
	"log/slog"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"topazmoor/internal/store"
	"topazmoor/internal/watch"
)

// scripted is a Remote whose nodes, by address, each send the same message every heartbeat.
type scripted struct {
	mu sync.Mutex
	// says has the message of each node by address; a node that sends none has no entry.
	says map[string]Message
	// asked are the calls of Follow in order.
	asked []question
}

type question struct {
	addr string
	have []KnownVersion
}

func (s *scripted) Follow(ctx context.Context, addr string, have []KnownVersion, handle func(Message) error) error {
	s.mu.Lock()
	s.asked = append(s.asked, question{addr, have})
	s.mu.Unlock()
	for {
		s.mu.Lock()
		msg, ok := s.says[addr]
		s.mu.Unlock()
		if ok {
			if err := handle(msg); err != nil {
				return err
			}
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(heartbeat):
		}
	}
}

func (s *scripted) set(addr string, t Message) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.says[addr] = t
}

// askedAt returns how often the node at addr was called.
func (s *scripted) askedAt(addr string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, q := range s.asked {
		if q.addr == addr {
			n++
		}
	}
	return n
}

// messageAt returns the message of a node whose copy of one table is at a version.
func messageAt(version int64, age time.Duration) Message {
	at := store.Version{Number: version}
	row := store.Row{Key: "a", Version: at}
	var copied watch.Table
	copied.Apply = func(watch.View) {}
	news := &watch.News{Whole: true, Version: at, Rows: []store.Row{row}}
	if err := copied.ApplyUpdate(*news); err != nil {
		panic(err)
	}
	return Message{AnswerAge: age, Tables: []TableMessage{{Position: copied.Copy().Position(), News: news}}}
}

// following runs a follower, the last in rank order of four nodes, while f runs.
func following(t *testing.T, says map[string]Message, f func(r *scripted, table *watch.Table, ranked []Node)) {
	synctest.Test(t, func(t *testing.T) {
		quiet := slog.New(slog.NewTextHandler(io.Discard, nil))
		twin := store.NewMemory()
		table := &watch.Table{Name: "t", From: twin, Wait: watch.ShortWait, Apply: func(watch.View) {}, Log: quiet}
		table.StopPolling()
		ranked := Rank("hall", dataCentre(4))
		r := &scripted{says: make(map[string]Message)}
		for i, n := range ranked {
			if message, ok := says[string(rune('0'+i))]; ok {
				r.says[n.Addr] = message
			}
		}
		known := make(chan struct{})
		close(known)
		fol := &Follower{
			Self: ranked[3].Name, DataCentre: "hall", Nodes: func() []Node { return ranked }, NodesKnown: known, StoreAnswered: known,
			Remote: r, Tables: []*watch.Table{table}, Publisher: NewPublisher(table), Log: quiet,
		}
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go func() { _ = fol.Serve(ctx) }()
		go func() { _ = table.Serve(ctx) }()
		f(r, table, ranked)
		cancel()
		synctest.Wait()
	})
}

func TestFollowerLeavesATellerWhose(t *testing.T) {
	for name, message := range map[string]Message{
		"store is away":    {Away: true, Tables: messageAt(9, 0).Tables},
		"word is old":      messageAt(9, maxAge+time.Millisecond),
		"copy is empty":    {Tables: make([]TableMessage, 1)},
		"tables are other": {Tables: make([]TableMessage, 2)},
	} {
		t.Run(name, func(t *testing.T) {
			says := map[string]Message{"0": message, "1": messageAt(5, 0)}
			following(t, says, func(r *scripted, table *watch.Table, ranked []Node) {
				time.Sleep(emptyTimeout + acceptTimeout + heartbeat)
				qt.Check(t, r.askedAt(ranked[1].Addr) > 0, qt.IsTrue)
				qt.Check(t, table.Connected(), qt.IsTrue)
			})
		})
	}
}

func TestFollowerLeavesATellerThatFallsBehind(t *testing.T) {
	says := map[string]Message{"0": messageAt(9, 0), "1": messageAt(20, 0)}
	following(t, says, func(r *scripted, table *watch.Table, ranked []Node) {
		time.Sleep(time.Second)
		qt.Assert(t, table.Copy().Position().Version.Number, qt.Equals, int64(9))
		r.set(ranked[0].Addr, messageAt(7, 0))
		time.Sleep(behindTimeout + 2*heartbeat)
		qt.Assert(t, table.Copy().Position().Version.Number, qt.Equals, int64(20))
	})
}

// A followed node whose copy never fits is called again at once only once, not in an endless loop.
func TestFollowerDoesNotAskAgainWithoutAnEnd(t *testing.T) {
	wrong := messageAt(9, 0)
	wrong.Tables[0].Position.Sum++
	following(t, map[string]Message{"0": wrong, "1": messageAt(20, 0)}, func(r *scripted, table *watch.Table, ranked []Node) {
		time.Sleep(4 * time.Second)
		qt.Check(t, r.askedAt(ranked[0].Addr) <= 4, qt.IsTrue, qt.Commentf("asked %d times", r.askedAt(ranked[0].Addr)))
		qt.Check(t, table.Copy().Position().Version.Number, qt.Equals, int64(20))
	})
}

// If no node answers, the follower reads the store after startGrace and the accept timeouts.
func TestFollowerAsksTheStoreWhereNobodyTells(t *testing.T) {
	following(t, nil, func(r *scripted, table *watch.Table, _ []Node) {
		time.Sleep(startGrace + 3*acceptTimeout + recheckInterval)
		qt.Check(t, table.Copy().Rows() != nil, qt.IsTrue)
		qt.Check(t, table.Connected(), qt.IsTrue)
	})
}
