package peer

import (
	"context"
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
	Follow(ctx context.Context, have []relay.KnownVersion, send relay.Send) error
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
	joiner := newUpdateJoiner(tables)
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
		msg, err := joiner.messageFrom(resp.GetTold())
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
	splitter := &updateSplitter{packer: &s.packer}
	return s.h.Publisher.Follow(ctx, have, func(t relay.Message) ([]bool, error) {
		msg, unfinished, err := splitter.next(t)
		if err != nil {
			return nil, err
		}
		st.SetWriteDeadline(time.Now().Add(followSendTimeout))
		return unfinished, st.send(&peerpb.Response{Result: &peerpb.Response_Told{Told: msg}})
	})
}

// cancelOnClose calls cancel once the peer closes its stream. The peer sends nothing more on
// the stream, so a read returns only then.
func cancelOnClose(st *stream, cancel func()) {
	var b [1]byte
	_, _ = st.Read(b[:])
	cancel()
}

// messageFrom decodes a message about the tables of the joiner.
func (j *updateJoiner) messageFrom(m *peerpb.Told) (relay.Message, error) {
	if m == nil || len(m.Table) != len(j.tables) {
		return relay.Message{}, eris.New("message from peer has the wrong number of tables")
	}
	out := relay.Message{Away: m.Away, AnswerAge: time.Duration(m.AgeMs) * time.Millisecond}
	for i, told := range m.Table {
		table := relay.TableMessage{
			Position: watch.Position{Version: store.Version{Era: told.Era, Number: told.Version}, Sum: told.Sum},
			Partial:  told.Partial, AnswerAge: relay.NeverAnswered,
		}
		if told.AgeMs >= 0 {
			table.AnswerAge = time.Duration(told.AgeMs) * time.Millisecond
		}
		var err error
		if table.News, err = j.join(i, told); err != nil {
			return relay.Message{}, err
		}
		out.Tables = append(out.Tables, table)
	}
	return out, nil
}

func tableUpdateFrom(m *peerpb.News, table string) (*watch.News, error) {
	rows := m.Row
	if m.Whole {
		raw, err := inflate(m.Packed)
		if err != nil {
			return nil, err
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
		row, err := rowFrom(r, table, m.Era)
		if err != nil {
			return nil, err
		}
		out.Rows = append(out.Rows, row)
	}
	return out, nil
}
