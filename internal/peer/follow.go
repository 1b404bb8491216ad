package peer

import (
	"bytes"
	"compress/flate"
	"context"
	"io"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	"topazmoor/internal/peer/peerpb"
	"topazmoor/internal/relay"
	"topazmoor/internal/store"
	"topazmoor/internal/verdict"
	"topazmoor/internal/watch"
)

// Publisher sends updates of store tables to the nodes that follow this node; see relay.Publisher.
type Publisher interface {
	Follow(ctx context.Context, have []relay.KnownVersion, send func(relay.Message) error) error
}

const (
	// followSendTimeout bounds the sending of one message to a follower. A follower that receives no
	// message for relay's silence timeout has stopped following by then.
	followSendTimeout = 3 * time.Second
	// maxTableBytes bounds the decompressed size of a whole table, in bytes. It is enough for
	// 10,000 rows of 1 KB.
	maxTableBytes = 16 << 20
)

// Follow implements relay.Remote. It calls receive for each message until an error.
func (c *Client) Follow(ctx context.Context, addr string, have []relay.KnownVersion, receive func(relay.Message) error) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	request := &peerpb.Follow{}
	tables := make([]string, len(have))
	for i, h := range have {
		tables[i] = h.Table
		request.Have = append(request.Have, &peerpb.Follow_Have{Table: h.Table, Era: h.Version.Era, Version: h.Version.Number})
	}
	x, err := c.request(ctx, addr, &peerpb.Request{Call: &peerpb.Request_Follow{Follow: request}})
	if err != nil {
		return err
	}
	defer func() {
		// The caller cancels the call if the node sends nothing in time, or after this host was
		// paused. The connection may be broken.
		if ctx.Err() != nil {
			x.retire()
		}
	}()
	for {
		resp, err := x.next()
		if err != nil {
			return err
		}
		msg, err := messageFrom(resp.GetTold(), tables)
		if err != nil {
			return err
		}
		if err := receive(msg); err != nil {
			return err
		}
	}
}

// follow sends updates to a follower until it closes its stream, a write fails or this node stops.
func (s *Server) follow(ctx context.Context, st *stream, m *peerpb.Follow) error {
	if s.h.Publisher == nil {
		return verdict.New(verdict.NotRun, verdict.Internal, "this node publishes no tables")
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	st.SetReadDeadline(time.Time{})
	go cancelOnClose(st, cancel)
	var have []relay.KnownVersion
	for _, h := range m.Have {
		have = append(have, relay.KnownVersion{Table: h.Table, Version: store.Version{Era: h.Era, Number: h.Version}})
	}
	return s.h.Publisher.Follow(ctx, have, func(t relay.Message) error {
		msg, err := s.packer.messageTo(t)
		if err != nil {
			return err
		}
		st.SetWriteDeadline(time.Now().Add(followSendTimeout))
		return st.send(&peerpb.Response{Result: &peerpb.Response_Told{Told: msg}})
	})
}

// cancelOnClose calls cancel once the peer closes its stream. The peer sends nothing more on
// the stream, so a read returns only then.
func cancelOnClose(st *stream, cancel func()) {
	var b [1]byte
	_, _ = st.Read(b[:])
	cancel()
}

// packer compresses whole tables. It compresses each version of a table once for all followers:
// 3,000 entries of 0.3 KB are 1 MB, and 50 nodes of a data centre request them at the same time.
type packer struct {
	mu      sync.Mutex
	updates [packedTables]*watch.News
	data    [packedTables][]byte
	next    int
}

// packedTables is the number of compressed tables that are cached.
const packedTables = 3

// messageTo encodes a message about tables.
func (p *packer) messageTo(t relay.Message) (*peerpb.Told, error) {
	out := &peerpb.Told{Away: t.Away, AgeMs: t.AnswerAge.Milliseconds()}
	for _, table := range t.Tables {
		m := &peerpb.TableTold{Era: table.Position.Version.Era, Version: table.Position.Version.Number, Sum: table.Position.Sum}
		if table.News != nil {
			var err error
			if m.News, err = p.tableUpdateTo(table.News); err != nil {
				return nil, err
			}
		}
		out.Table = append(out.Table, m)
	}
	return out, nil
}

func (p *packer) tableUpdateTo(n *watch.News) (*peerpb.News, error) {
	out := &peerpb.News{Since: n.Since.Number, Era: n.Version.Era, Version: n.Version.Number, Whole: n.Whole, Deleted: n.Deleted}
	if !n.Whole {
		out.Row = rowsTo(n.Rows)
		return out, nil
	}
	var err error
	out.Packed, err = p.pack(n)
	return out, err
}

func rowsTo(rows []store.Row) []*peerpb.Row {
	out := make([]*peerpb.Row, len(rows))
	for i, r := range rows {
		out[i] = &peerpb.Row{Key: r.Key, Value: r.Value, Version: r.Version.Number}
	}
	return out
}

// pack returns the compressed rows of a whole table, from the cache if they are in it.
func (p *packer) pack(n *watch.News) ([]byte, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i, known := range p.updates {
		if known == n {
			return p.data[i], nil
		}
	}
	raw, err := proto.Marshal(&peerpb.Rows{Row: rowsTo(n.Rows)})
	if err != nil {
		return nil, eris.Wrap(err, "encode table")
	}
	var b bytes.Buffer
	w, err := flate.NewWriter(&b, flate.DefaultCompression)
	if err != nil {
		return nil, eris.Wrap(err, "pack table")
	}
	// Writes to a bytes.Buffer return no error.
	_, _ = w.Write(raw)
	_ = w.Close()
	p.updates[p.next], p.data[p.next] = n, b.Bytes()
	p.next = (p.next + 1) % packedTables
	return b.Bytes(), nil
}

// messageFrom decodes a message about tables, which are in the order of the request.
func messageFrom(m *peerpb.Told, tables []string) (relay.Message, error) {
	if m == nil || len(m.Table) != len(tables) {
		return relay.Message{}, eris.New("message from peer has the wrong number of tables")
	}
	out := relay.Message{Away: m.Away, AnswerAge: time.Duration(m.AgeMs) * time.Millisecond}
	for i, table := range m.Table {
		status := relay.TableMessage{Position: watch.Position{Version: store.Version{Era: table.Era, Number: table.Version}, Sum: table.Sum}}
		if table.News != nil {
			update, err := tableUpdateFrom(table.News, tables[i])
			if err != nil {
				return relay.Message{}, err
			}
			status.News = update
		}
		out.Tables = append(out.Tables, status)
	}
	return out, nil
}

func tableUpdateFrom(m *peerpb.News, table string) (*watch.News, error) {
	rows := m.Row
	if m.Whole {
		raw, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(m.Packed)), maxTableBytes))
		if err != nil {
			return nil, eris.Wrap(err, "unpack table")
		}
		whole := &peerpb.Rows{}
		if err := proto.Unmarshal(raw, whole); err != nil {
			return nil, eris.Wrap(err, "decode table")
		}
		rows = whole.Row
	}
	at := func(number int64) store.Version { return store.Version{Era: m.Era, Number: number} }
	out := &watch.News{Since: at(m.Since), Version: at(m.Version), Whole: m.Whole, Deleted: m.Deleted}
	for _, r := range rows {
		out.Rows = append(out.Rows, store.Row{Table: table, Key: r.Key, Value: r.Value, Version: at(r.Version)})
	}
	return out, nil
}
