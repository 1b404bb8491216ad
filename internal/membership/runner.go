package membership

import (
	"context"
	"crypto/hmac"
	"crypto/sha256"
	"errors"
	"log/slog"
	"net"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"topazmoor/internal/blackboard"
	"topazmoor/internal/peer/peerpb"
)

// macLen is the length of the HMAC behind a datagram.
const macLen = 16

// maxDatagram bounds a datagram, in bytes.
const maxDatagram = 4 << 10

// PacketConn sends and receives datagrams; a *net.UDPConn in production.
type PacketConn interface {
	ReadFrom(b []byte) (int, net.Addr, error)
	WriteTo(b []byte, to net.Addr) (int, error)
	Close() error
}

// Runner runs the protocol over datagrams. It implements suture.Service.
type Runner struct {
	conn     PacketConn
	key      []byte
	interval time.Duration
	view     *blackboard.Cell[[]Member]
	// heard is told of every peer that has a higher revision than this node.
	heard func(addr string, revision int64)
	log   *slog.Logger

	mu    sync.Mutex
	state *State
	sent  Traffic
}

// Traffic counts the datagrams of a node.
type Traffic struct {
	// Out and OutBytes were sent, In and InBytes received.
	Out, OutBytes, In, InBytes int64
}

// NewRunner returns a runner that publishes the other nodes into view.
func NewRunner(conn PacketConn, key []byte, st *State, view *blackboard.Cell[[]Member], heard func(string, int64), log *slog.Logger) *Runner {
	return &Runner{conn: conn, key: key, interval: st.cfg.Interval, state: st, view: view, heard: heard, log: log}
}

// Traffic returns the counts so far.
func (r *Runner) Traffic() Traffic {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.sent
}

// Self returns this node as it presents itself.
func (r *Runner) Self() Member {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state.Self()
}

// SetSeeds replaces the seeds.
func (r *Runner) SetSeeds(seeds []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.state.SetSeeds(seeds)
}

// SetRevision announces a new configuration revision.
func (r *Runner) SetRevision(rev int64) {
	r.do(func(s *State) []Packet { return s.SetRevision(rev) })
}

// PingAll asks all nodes for their revisions.
func (r *Runner) PingAll() {
	r.do(func(s *State) []Packet { return s.PingAll(time.Now()) })
}

// Leave tells others that this node stops.
func (r *Runner) Leave() { r.do((*State).Leave) }

// do changes the state and sends what comes of it.
func (r *Runner) do(f func(*State) []Packet) {
	r.mu.Lock()
	packets := f(r.state)
	r.publish()
	r.mu.Unlock()
	r.send(packets)
}

// publish stores the view if it changed. It is called with the lock held.
func (r *Runner) publish() {
	next := r.state.Members()
	old := r.view.Get()
	if len(next) == len(old) {
		same := true
		for i := range next {
			same = same && next[i] == old[i]
		}
		if same {
			return
		}
	}
	r.view.Store(next)
}

// Serve implements suture.Service.
func (r *Runner) Serve(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { r.conn.Close() })
	defer stop()
	go r.tick(ctx)
	buf := make([]byte, maxDatagram)
	for {
		n, from, err := r.conn.ReadFrom(buf)
		if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
			return ctx.Err()
		}
		if err != nil {
			return err
		}
		r.receive(buf[:n], from)
	}
}

func (r *Runner) tick(ctx context.Context) {
	t := time.NewTicker(r.interval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			r.do(func(s *State) []Packet { return s.Tick(time.Now()) })
		}
	}
}

func (r *Runner) receive(b []byte, from net.Addr) {
	msg, ok := open(r.key, b)
	if !ok {
		r.log.Debug("datagram refused", "from", from.String())
		return
	}
	r.mu.Lock()
	r.sent.In++
	r.sent.InBytes += int64(len(b))
	packets, revision := r.state.Receive(time.Now(), from.String(), msg)
	higher := revision > r.state.revision
	r.publish()
	r.mu.Unlock()
	r.send(packets)
	if higher {
		r.heard(from.String(), revision)
	}
}

func (r *Runner) send(packets []Packet) {
	for _, p := range packets {
		addr, err := net.ResolveUDPAddr("udp", p.Addr)
		if err != nil {
			continue
		}
		b, err := seal(r.key, p.Msg)
		if err != nil {
			r.log.Error("datagram not encoded", "err", err)
			continue
		}
		// A lost datagram is like any other loss.
		_, _ = r.conn.WriteTo(b, addr)
		r.mu.Lock()
		r.sent.Out++
		r.sent.OutBytes += int64(len(b))
		r.mu.Unlock()
	}
}

// seal encodes a datagram and appends its HMAC.
func seal(key []byte, msg *peerpb.Datagram) ([]byte, error) {
	b, err := proto.Marshal(msg)
	if err != nil {
		return nil, err
	}
	return append(b, mac(key, b)...), nil
}

// open checks and decodes a datagram.
func open(key, b []byte) (*peerpb.Datagram, bool) {
	if len(b) < macLen {
		return nil, false
	}
	body, sum := b[:len(b)-macLen], b[len(b)-macLen:]
	if !hmac.Equal(sum, mac(key, body)) {
		return nil, false
	}
	msg := &peerpb.Datagram{}
	return msg, proto.Unmarshal(body, msg) == nil
}

func mac(key, body []byte) []byte {
	m := hmac.New(sha256.New, key)
	m.Write([]byte("datagram\x00"))
	m.Write(body)
	return m.Sum(nil)[:macLen]
}
