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

// macLen is the length in bytes of the truncated HMAC-SHA256 at the end of a
// datagram.
const macLen = 16

// maxDatagram is the size of the receive buffer of a datagram, in bytes.
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
	// onHigherRevision is called for every message whose sender has a higher
	// configuration revision than this node.
	onHigherRevision func(addr string, revision int64)
	log              *slog.Logger

	mu      sync.Mutex
	state   *State
	traffic Traffic
}

// Traffic counts the datagrams of a node and their bytes.
type Traffic struct {
	// Out and OutBytes count datagrams sent, In and InBytes authenticated
	// datagrams received.
	Out, OutBytes, In, InBytes int64
}

// NewRunner returns a runner that publishes the other nodes in view and calls
// onHigherRevision for each message from a node with a higher configuration
// revision.
func NewRunner(conn PacketConn, key []byte, st *State, view *blackboard.Cell[[]Member], onHigherRevision func(string, int64), log *slog.Logger) *Runner {
	return &Runner{conn: conn, key: key, interval: st.cfg.Interval, state: st, view: view, onHigherRevision: onHigherRevision, log: log}
}

// Traffic returns the counts since the start.
func (r *Runner) Traffic() Traffic {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.traffic
}

// Self returns the member entry of this node.
func (r *Runner) Self() Member {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state.Self()
}

// SetSeeds replaces the seed addresses; see State.SetSeeds.
func (r *Runner) SetSeeds(seeds []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.state.SetSeeds(seeds)
}

// SetRevision announces a new configuration revision.
func (r *Runner) SetRevision(rev int64) {
	r.do(func(s *State) []Packet { return s.SetRevision(rev) })
}

// PingAll pings all nodes; their answers carry their revisions.
func (r *Runner) PingAll() {
	r.do(func(s *State) []Packet { return s.PingAll(time.Now()) })
}

// Leave announces to other nodes that this node leaves.
func (r *Runner) Leave() { r.do((*State).Leave) }

// do applies f to the state, publishes the view and sends the packets of f.
func (r *Runner) do(f func(*State) []Packet) {
	r.mu.Lock()
	packets := f(r.state)
	r.publish()
	r.mu.Unlock()
	r.send(packets)
}

// publish stores the view if it changed. The caller holds mu.
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
		r.log.Debug("datagram authentication or decoding failed", "from", from.String())
		return
	}
	r.mu.Lock()
	r.traffic.In++
	r.traffic.InBytes += int64(len(b))
	packets, revision := r.state.Receive(time.Now(), from.String(), msg)
	higher := revision > r.state.revision
	r.publish()
	r.mu.Unlock()
	r.send(packets)
	if higher {
		r.onHigherRevision(from.String(), revision)
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
			r.log.Error("encode datagram failed", "err", err)
			continue
		}
		// The protocol tolerates lost datagrams, so a failed write is ignored.
		_, _ = r.conn.WriteTo(b, addr)
		r.mu.Lock()
		r.traffic.Out++
		r.traffic.OutBytes += int64(len(b))
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

// open checks the HMAC of a datagram and decodes it.
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

// mac returns the truncated HMAC of a datagram's body.
func mac(key, body []byte) []byte {
	m := hmac.New(sha256.New, key)
	m.Write([]byte("datagram\x00"))
	m.Write(body)
	return m.Sum(nil)[:macLen]
}
