package peer

import (
	"io"
	"log/slog"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"topazmoor/internal/catalog"
	"topazmoor/internal/standin/memnet"
)

// thinRate is the rate of a link of 10 Mbit/s, in bytes per second.
const thinRate = 1.25e6

func TestLargeSnapshotArrivesOverAThinLink(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		network := memnet.New()
		network.SetRate("10.0.0.2", thinRate)
		ln, err := network.Listen("10.0.0.1:1")
		qt.Assert(t, err, qt.IsNil)
		// Eight seconds of the link.
		items := []catalog.Item{{Kind: catalog.DrainItem, Name: strings.Repeat("n", 10e6)}}
		h := Handler{Registries: fakeBook{}, Snapshot: func() (int64, []catalog.Item) { return 9, items }}
		s := NewServer(ln, []byte("key"), "server", h, slog.New(slog.NewTextHandler(io.Discard, nil)))
		go func() { _ = s.Serve(t.Context()) }()
		cl := NewClient(network.DialFrom("10.0.0.2"), []byte("key"), "client", nil, nil)
		defer cl.Close()
		rev, _, err := cl.Snapshot(t.Context(), "10.0.0.1:1")
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, rev, qt.Equals, int64(9))
	})
}
