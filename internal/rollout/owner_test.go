package rollout

import (
	"context"
	"io"
	"log/slog"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

// countingStore accepts every record and counts the final ones.
type countingStore struct{ final atomic.Int64 }

func (b *countingStore) Save(_ context.Context, r Record) (Record, error) {
	if r.State.Final() {
		b.final.Add(1)
	}
	return r, nil
}

// After its host was suspended an owner makes no decision from the reports of before.
func TestOwnerThatStoodStillDecidesNothing(t *testing.T) {
	for _, suspended := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			store := &countingStore{}
			w := &Owner{
				RecordStore: store, Targets: func(string, string) Targets { return Targets{} }, Withdrawn: func(Order) bool { return false },
				Nodes: func() int { return 1 }, Log: slog.New(slog.NewTextHandler(io.Discard, nil)),
			}
			o := Order{Service: "s", To: "v2", Lasts: 5 * time.Second}
			_, err := w.Report(t.Context(), Report{Node: "a", Order: o, Hold: time.Second})
			qt.Assert(t, err, qt.IsNil)
			if suspended {
				w.Expire()
			}
			for range 20 {
				time.Sleep(500 * time.Millisecond)
				if !suspended {
					_, err := w.Report(t.Context(), Report{Node: "a", Order: o, Hold: time.Second})
					qt.Assert(t, err, qt.IsNil)
				}
			}
			qt.Assert(t, store.final.Load() == 0, qt.Equals, suspended)
			time.Sleep(time.Minute)
		})
	}
}
