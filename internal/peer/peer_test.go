package peer

import (
	"bytes"
	"context"
	"io"
	"log/slog"
	"net"
	"testing"

	qt "github.com/frankban/quicktest"

	"topazmoor/internal/catalog"
	"topazmoor/internal/ledger"
	"topazmoor/internal/peer/peerpb"
	"topazmoor/internal/verdict"
)

// fakeBook refuses claims, accepts finishes and finds a record for each key.
type fakeBook struct{}

func (fakeBook) Claim(context.Context, ledger.Claim) (ledger.Grant, error) {
	return ledger.Grant{}, verdict.New(verdict.MayHaveRun, verdict.KeyOutcomeUnknown, "because")
}

func (fakeBook) Finish(context.Context, ledger.Claim, *ledger.Outcome) error { return nil }

func (fakeBook) Lookup(_ context.Context, k ledger.Key) (ledger.Record, bool, error) {
	return ledger.Record{Claim: ledger.Claim{Key: k}, Outcome: &ledger.Outcome{Status: 200, Body: []byte("b")}}, true, nil
}

func startServer(t *testing.T, key string) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	h := Handler{
		Registries: fakeBook{},
		Changes:    func(after int64) []catalog.Change { return []catalog.Change{{Revision: after + 1, By: "op"}} },
		Snapshot:   func() (int64, []catalog.Item) { return 9, []catalog.Item{{Kind: catalog.DrainItem, Name: "h"}} },
	}
	s := NewServer(ln, []byte(key), "server", h, slog.New(slog.NewTextHandler(io.Discard, nil)))
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- s.Serve(ctx) }()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return ln.Addr().String()
}

func TestCallsAndRefusalsCross(t *testing.T) {
	c := qt.New(t)
	addr := startServer(t, "key")
	cl := NewClient((&net.Dialer{}).DialContext, []byte("key"), "client", nil, nil)
	defer cl.Close()
	_, err := cl.Registry(addr).Claim(t.Context(), ledger.Claim{})
	c.Assert(verdict.CodeOf(err), qt.Equals, verdict.KeyOutcomeUnknown)
	c.Assert(verdict.Of(err), qt.Equals, verdict.MayHaveRun)
	rec, found, err := cl.Registry(addr).Lookup(t.Context(), ledger.Key{Account: "a", Key: "k"})
	c.Assert(err, qt.IsNil)
	c.Assert(found, qt.IsTrue)
	c.Assert(rec.Key, qt.Equals, ledger.Key{Account: "a", Key: "k"})
	c.Assert(string(rec.Outcome.Body), qt.Equals, "b")
	changes, err := cl.Changes(t.Context(), addr, 4)
	c.Assert(err, qt.IsNil)
	c.Assert(changes[0].Revision, qt.Equals, int64(5))
	rev, items, err := cl.Snapshot(t.Context(), addr)
	c.Assert(err, qt.IsNil)
	c.Assert(rev, qt.Equals, int64(9))
	c.Assert(items, qt.HasLen, 1)
}

func TestWrongKeyIsRefusedByBothEnds(t *testing.T) {
	c := qt.New(t)
	addr := startServer(t, "key")
	cl := NewClient((&net.Dialer{}).DialContext, []byte("other"), "client", nil, nil)
	defer cl.Close()
	_, _, err := cl.Snapshot(t.Context(), addr)
	c.Assert(err, qt.IsNotNil)
}

func FuzzReadFrame(f *testing.F) {
	var b bytes.Buffer
	if _, err := writeFrame(&b, &peerpb.Request{Call: &peerpb.Request_Snapshot{Snapshot: &peerpb.Empty{}}}); err != nil {
		f.Fatal(err)
	}
	f.Add(b.Bytes())
	f.Add([]byte{0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, b []byte) {
		req := &peerpb.Request{}
		if _, err := readFrame(bytes.NewReader(b), req, 1<<16); err != nil {
			return
		}
		if call := req.GetClaim(); call != nil {
			_ = claimFrom(call)
		}
	})
}
