package peer

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"topazmoor/internal/region"
	"topazmoor/internal/stagebatch"
	"topazmoor/internal/standin/memnet"
	"topazmoor/internal/traffic"
)

// countedConn counts the bytes of a connection in both directions.
type countedConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n))
	return n, err
}

// BenchmarkOrderOnTheLink sends orders of six pieces, each with the six results of the previous stage
// as inputs, to a node whose pool reports three wait times. An order costs 502 bytes in both
// directions together and 53 us for both nodes.
func BenchmarkOrderOnTheLink(b *testing.B) {
	bytes := &atomic.Int64{}
	nw := memnet.New()
	ln, err := nw.Listen("10.0.0.1:1")
	if err != nil {
		b.Fatal(err)
	}
	s := NewServer(ln, []byte("key"), "server", Handler{Stages: &instantStages{}, Traffic: &traffic.Meter{}}, slog.New(slog.NewTextHandler(io.Discard, nil)))
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() { _ = s.Serve(ctx) }()
	dial := nw.DialFrom("10.0.0.2")
	cl := NewClient(func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := dial(ctx, network, addr)
		return countedConn{c, bytes}, err
	}, []byte("key"), "client", nil, &traffic.Meter{})
	defer cl.Close()
	o := stagebatch.Order{
		Service: "pool12a", Request: "9c41d07be2a35f68", Stage: 2, Pieces: 6, Priority: 1, ResultBytes: 60000,
		Due: time.Now().Add(time.Second), Deadline: time.Now().Add(3 * time.Second),
	}
	for i := range 6 {
		o.Inputs = append(o.Inputs, fmt.Sprintf("10.1.64.%d:8080/5c1e07a2e440", i))
	}
	b.ReportAllocs()
	for b.Loop() {
		if _, err := cl.Produce(ctx, ln.Addr().String(), o, func(stagebatch.Waits) {}); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(bytes.Load())/float64(b.N), "bytes/order")
}

// instantStages completes orders at once.
type instantStages struct{ slowStages }

func (*instantStages) Produce(_ context.Context, o stagebatch.Order, accepted func(stagebatch.Waits)) (stagebatch.Result, error) {
	accepted(stagebatch.Waits{})
	return stagebatch.Result{Handles: o.Inputs}, nil
}

func (*instantStages) Waits(string, region.Set) stagebatch.Waits {
	return stagebatch.Waits{OnTime: []time.Duration{0, 100 * time.Millisecond, time.Second}}
}
