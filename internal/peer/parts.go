package peer

import (
	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	"topazmoor/internal/peer/peerpb"
	"topazmoor/internal/relay"
	"topazmoor/internal/watch"
)

// partBytes is the maximum length of the parts of updates in one message to a follower, in bytes. A host
// with a link of 10 Mbit/s receives it within 30 ms, so that a follower is never silent for long and
// other updates do not wait behind a long one.
const partBytes = 32 << 10

// updateSplitter splits the long updates in the messages to one follower.
type updateSplitter struct {
	packer *packer
	// rest has for each table what remains of the update that is being sent; nil for none.
	rest []*unsentUpdate
}

// unsentUpdate is an update of which parts remain to be sent.
type unsentUpdate struct {
	// position is that of the update.
	position watch.Position
	encoded  []byte
}

// next encodes a message, with at most partBytes of updates, and returns for each table whether parts remain.
func (u *updateSplitter) next(m relay.Message) (*peerpb.Told, []bool, error) {
	if u.rest == nil {
		u.rest = make([]*unsentUpdate, len(m.Tables))
	}
	out := &peerpb.Told{Away: m.Away, AgeMs: m.AnswerAge.Milliseconds()}
	unfinished := make([]bool, len(m.Tables))
	space := partBytes
	for i, table := range m.Tables {
		if err := u.begin(i, table); err != nil {
			return nil, nil, err
		}
		told := u.tell(i, table, space)
		space -= len(told.Part)
		out.Table = append(out.Table, told)
		unfinished[i] = told.Partial
	}
	return out, unfinished, nil
}

// begin encodes the update that a message has for a table, if any.
func (u *updateSplitter) begin(i int, table relay.TableMessage) error {
	if table.News == nil {
		return nil
	}
	update, err := u.packer.tableUpdateTo(table.News)
	if err != nil {
		return err
	}
	encoded, err := proto.Marshal(update)
	if err != nil {
		return eris.Wrap(err, "encode update")
	}
	u.rest[i] = &unsentUpdate{position: table.Position, encoded: encoded}
	return nil
}

// tell encodes what a message says of a table, with the next part of its update, of at most space bytes.
func (u *updateSplitter) tell(i int, table relay.TableMessage, space int) *peerpb.TableTold {
	rest := u.rest[i]
	if rest == nil {
		return tableTo(table)
	}
	table.Position = rest.position
	told := tableTo(table)
	told.Part = rest.take(space)
	told.Partial = len(rest.encoded) > 0
	if !told.Partial {
		u.rest[i] = nil
	}
	return told
}

// take returns the next part, of at most n bytes.
func (u *unsentUpdate) take(n int) []byte {
	n = min(n, len(u.encoded))
	part := u.encoded[:n]
	u.encoded = u.encoded[n:]
	return part
}

// tableTo encodes what a message says of a table.
func tableTo(t relay.TableMessage) *peerpb.TableTold {
	out := &peerpb.TableTold{Era: t.Position.Version.Era, Version: t.Position.Version.Number, Sum: t.Position.Sum}
	out.AgeMs = int64(relay.NeverAnswered)
	if t.AnswerAge != relay.NeverAnswered {
		out.AgeMs = t.AnswerAge.Milliseconds()
	}
	return out
}

// updateJoiner joins the parts of updates that one call receives.
type updateJoiner struct {
	// tables are the names of the tables in the order of the request.
	tables []string
	// received has the parts that were received so far, by table.
	received [][]byte
}

func newUpdateJoiner(tables []string) *updateJoiner {
	return &updateJoiner{tables: tables, received: make([][]byte, len(tables))}
}

// join returns the update of a table that a message completes; nil for none.
func (j *updateJoiner) join(i int, m *peerpb.TableTold) (*watch.News, error) {
	if len(j.received[i])+len(m.Part) > maxTableBytes {
		return nil, eris.Errorf("update of table %s exceeds %d bytes", j.tables[i], maxTableBytes)
	}
	j.received[i] = append(j.received[i], m.Part...)
	if m.Partial || len(j.received[i]) == 0 {
		return nil, nil
	}
	update := &peerpb.News{}
	if err := proto.Unmarshal(j.received[i], update); err != nil {
		return nil, eris.Wrap(err, "decode update")
	}
	j.received[i] = nil
	return tableUpdateFrom(update, j.tables[i])
}
