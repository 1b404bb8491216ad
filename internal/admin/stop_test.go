package admin

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"topazmoor/internal/catalog"
)

func TestStopsAreSpread(t *testing.T) {
	c := qt.New(t)
	at := time.Date(2026, 12, 3, 2, 0, 0, 0, time.UTC)
	const span = time.Minute
	stops := map[string]catalog.Stop{"a": {Node: "a", At: at}, "b": {Node: "b", At: at.Add(30 * time.Second)}}
	c.Assert(nextFree(stops, "c", at, 3, span), qt.Equals, at)
	c.Assert(nextFree(stops, "c", at, 2, span), qt.Equals, at.Add(span))
	c.Assert(nextFree(stops, "c", at, 1, span), qt.Equals, at.Add(90*time.Second))
	// A node's own earlier order does not count, nor do times far off.
	c.Assert(nextFree(stops, "a", at, 2, span), qt.Equals, at)
	c.Assert(nextFree(stops, "c", at.Add(time.Hour), 1, span), qt.Equals, at.Add(time.Hour))
}

func TestOldStopsAreRemoved(t *testing.T) {
	c := qt.New(t)
	now := time.Date(2026, 12, 3, 2, 0, 0, 0, time.UTC)
	stops := map[string]catalog.Stop{"old": {At: now.Add(-2 * time.Hour)}, "new": {At: now.Add(time.Hour)}}
	items := oldStops(stops, now)
	c.Assert(items, qt.HasLen, 1)
	c.Assert(items[0].Name, qt.Equals, "old")
}
