package peer

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"topazmoor/internal/sharedrate"
	"topazmoor/internal/stagebatch"
)

// stuckPeer returns a Client whose peer completes the handshake, calls then with the connection and
// does nothing else with it.
func stuckPeer(key []byte, then func(c net.Conn)) *Client {
	dial := func(context.Context, string, string) (net.Conn, error) {
		here, there := net.Pipe()
		go func() {
			if _, err := handshake(there, key, "b", false); err == nil {
				then(there)
			}
		}()
		return here, nil
	}
	return NewClient(dial, key, "a", nil, nil)
}

// TestCallsEndAtTheirDeadlineWhateverThePeerDoes guards against calls that block on the connection
// beyond their deadline and so delay the request of a caller.
func TestCallsEndAtTheirDeadlineWhateverThePeerDoes(t *testing.T) {
	const timeout = 300 * time.Millisecond
	peers := map[string]func(net.Conn){
		"takes nothing": func(net.Conn) {},
		"stops taking in the midst of the call": func(c net.Conn) {
			_, _ = io.ReadFull(c, make([]byte, headerLen))
		},
		"stops in the midst of a frame": func(c net.Conn) {
			go func() { _, _ = io.Copy(io.Discard, c) }()
			sent, _ := partialFrame()
			_, _ = c.Write(sent)
		},
		"says nothing": func(c net.Conn) { _, _ = io.Copy(io.Discard, c) },
	}
	calls := map[string]func(ctx context.Context, c *Client) error{
		"permits": func(ctx context.Context, c *Client) error {
			_, err := c.AskPermits(ctx, "b", sharedrate.PermitRequest{})
			return err
		},
		"order": func(ctx context.Context, c *Client) error {
			_, err := c.Produce(ctx, "b", stagebatch.Order{}, func(stagebatch.Waits) {})
			return err
		},
		"follow": func(ctx context.Context, c *Client) error { return c.Follow(ctx, "b", nil, nil) },
	}
	for does, then := range peers {
		for name, call := range calls {
			t.Run(name+" "+does, func(t *testing.T) {
				inBubble(t, func(t *testing.T) {
					client := stuckPeer([]byte("key"), then)
					began := time.Now()
					ctx, cancel := context.WithTimeout(t.Context(), timeout)
					defer cancel()
					err := call(ctx, client)
					quicktest.Check(t, time.Since(began), quicktest.Equals, timeout)
					quicktest.Check(t, err, quicktest.ErrorIs, context.DeadlineExceeded)
					client.Close()
					// The goroutines that the call started end too.
					time.Sleep(time.Minute)
				})
			})
		}
	}
}
