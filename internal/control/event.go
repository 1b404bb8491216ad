package control

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/rotisserie/eris"

	"topazmoor/internal/store"
)

// eventTable is the table of events.
const eventTable = "event"

// Event is a record of the audit trail other than a change of the
// configuration.
type Event struct {
	At   time.Time `json:"at"`
	Node string    `json:"node"`
	// Kind is one of the kinds below.
	Kind EventKind `json:"kind"`
	// Object is the object concerned, such as "shard/claims-3".
	Object string `json:"object"`
	Detail string `json:"detail,omitempty"`
}

// EventKind is the kind of an event.
type EventKind string

// The kinds of events.
const (
	// TakeOver: a node became the owner of a control shard.
	TakeOver EventKind = "take-over"
	// Ordered: an order was issued for an engine.
	Ordered EventKind = "order"
	// Refused: a node refused requests of operators.
	Refused EventKind = "refused"
)

// eventRetention is how long events are stored before they are deleted.
const eventRetention = 90 * 24 * time.Hour

// SweepEvents returns the task that deletes events older than eventRetention.
func SweepEvents(t store.Tables) *Sweep {
	return &Sweep{Tables: t, Table: eventTable, Prefixes: []string{""}, Expired: func(r store.Row, now time.Time) bool {
		var e Event
		return json.Unmarshal(r.Value, &e) == nil && now.Sub(e.At) > eventRetention
	}}
}

// Write returns the write that records the event. The key orders events by
// time and is unique by id.
func (e Event) Write(id string) (store.Write, error) {
	value, err := json.Marshal(e)
	if err != nil {
		return store.Write{}, eris.Wrap(err, "encode event")
	}
	return store.Write{Table: eventTable, Key: fmt.Sprintf("%020d-%s", e.At.UnixNano(), id), Value: value}, nil
}

// Record stores an event in a transaction of its own.
func Record(ctx context.Context, t store.Tables, id string, e Event) error {
	w, err := e.Write(id)
	if err != nil {
		return err
	}
	_, err = t.Commit(ctx, store.Tx{Writes: []store.Write{w}})
	return err
}

// Events returns up to limit events after a time, oldest first.
func Events(ctx context.Context, t store.Tables, after time.Time, limit int) ([]Event, error) {
	from := ""
	if !after.IsZero() {
		from = fmt.Sprintf("%020d~", after.UnixNano())
	}
	rows, err := t.Scan(ctx, eventTable, "", from, limit)
	if err != nil {
		return nil, err
	}
	out := make([]Event, 0, len(rows))
	for _, r := range rows {
		var e Event
		if err := json.Unmarshal(r.Value, &e); err != nil {
			return nil, eris.Wrapf(err, "decode event %s", r.Key)
		}
		out = append(out, e)
	}
	return out, nil
}
