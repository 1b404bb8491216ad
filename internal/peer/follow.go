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

// Teller answers the nodes that follow this one; see relay.Teller.
type Teller interface {
	Follow(ctx context.Context, have []relay.Have, send func(relay.Told) error) error
}

const (
	// tellTimeout bounds the sending of one message to a node that follows: one that takes
	// nothing more has left it after relay's silence anyhow.
	tellTimeout = 3 * time.Second
	// maxUnpacked bounds a whole table, in bytes: 10,000 rows of 1 KB.
	maxUnpacked = 16 << 20
)

// Follow implements relay.Remote.
func (c *Client) Follow(ctx context.Context, addr string, have []relay.Have, told func(relay.Told) error) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	ask := &peerpb.Follow{}
	tables := make([]string, len(have))
	for i, h := range have {
		tables[i] = h.Table
		ask.Have = append(ask.Have, &peerpb.Follow_Have{Table: h.Table, Era: h.Version.Era, Version: h.Version.Number})
	}
	x, err := c.ask(ctx, addr, &peerpb.Request{Call: &peerpb.Request_Follow{Follow: ask}})
	if err != nil {
		return err
	}
	defer func() {
		// The node is left as it says nothing, or as this host stood still.
		if ctx.Err() != nil {
			x.retire()
		}
	}()
	for {
		resp, err := x.next()
		if err != nil {
			return err
		}
		msg, err := toldFrom(resp.GetTold(), tables)
		if err != nil {
			return err
		}
		if err := told(msg); err != nil {
			return err
		}
	}
}

// follow answers a node that follows this one, until it leaves.
func (s *Server) follow(ctx context.Context, st *stream, m *peerpb.Follow) error {
	if s.h.Teller == nil {
		return verdict.New(verdict.NotRun, verdict.Internal, "this node tells nothing of the store")
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	st.SetReadDeadline(time.Time{})
	go cancelWhenLeft(st, cancel)
	var have []relay.Have
	for _, h := range m.Have {
		have = append(have, relay.Have{Table: h.Table, Version: store.Version{Era: h.Era, Number: h.Version}})
	}
	return s.h.Teller.Follow(ctx, have, func(t relay.Told) error {
		msg, err := s.packer.toldTo(t)
		if err != nil {
			return err
		}
		st.SetWriteDeadline(time.Now().Add(tellTimeout))
		return writeFrame(st, &peerpb.Response{Result: &peerpb.Response_Told{Told: msg}})
	})
}

// cancelWhenLeft cancels when the peer closes its stream, on which it sends nothing more.
func cancelWhenLeft(st *stream, cancel func()) {
	var b [1]byte
	_, _ = st.Read(b[:])
	cancel()
}

// packer compresses whole tables, each version of a table once for all nodes that ask for
// it: 3,000 entries of 0.3 KB are 1 MB, and 50 nodes of a data centre ask at the same time.
type packer struct {
	mu   sync.Mutex
	news [packedTables]*watch.News
	data [packedTables][]byte
	next int
}

// packedTables is how many packed tables are kept.
const packedTables = 3

func (p *packer) toldTo(t relay.Told) (*peerpb.Told, error) {
	out := &peerpb.Told{Away: t.Away, AgeMs: t.Age.Milliseconds()}
	for _, table := range t.Tables {
		m := &peerpb.TableTold{Era: table.Position.Version.Era, Version: table.Position.Version.Number, Sum: table.Position.Sum}
		if table.News != nil {
			var err error
			if m.News, err = p.newsTo(table.News); err != nil {
				return nil, err
			}
		}
		out.Table = append(out.Table, m)
	}
	return out, nil
}

func (p *packer) newsTo(n *watch.News) (*peerpb.News, error) {
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

// pack compresses the rows of a whole table.
func (p *packer) pack(n *watch.News) ([]byte, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i, known := range p.news {
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
	// A buffer takes everything.
	_, _ = w.Write(raw)
	_ = w.Close()
	p.news[p.next], p.data[p.next] = n, b.Bytes()
	p.next = (p.next + 1) % packedTables
	return b.Bytes(), nil
}

// toldFrom decodes a message about these tables.
func toldFrom(m *peerpb.Told, tables []string) (relay.Told, error) {
	if m == nil || len(m.Table) != len(tables) {
		return relay.Told{}, eris.New("the peer's message lacks tables")
	}
	out := relay.Told{Away: m.Away, Age: time.Duration(m.AgeMs) * time.Millisecond}
	for i, table := range m.Table {
		told := relay.TableTold{Position: watch.Position{Version: store.Version{Era: table.Era, Number: table.Version}, Sum: table.Sum}}
		if table.News != nil {
			news, err := newsFrom(table.News, tables[i])
			if err != nil {
				return relay.Told{}, err
			}
			told.News = news
		}
		out.Tables = append(out.Tables, told)
	}
	return out, nil
}

func newsFrom(m *peerpb.News, table string) (*watch.News, error) {
	rows := m.Row
	if m.Whole {
		raw, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(m.Packed)), maxUnpacked))
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
