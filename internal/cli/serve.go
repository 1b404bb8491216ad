package cli

import (
	"bytes"
	"context"
	"math/rand/v2"
	"net"
	"os"
	"time"

	"github.com/rotisserie/eris"

	"topazmoor/internal/node"
	"topazmoor/internal/platform"
	"topazmoor/internal/settings"
)

// serveCmd runs one node.
type serveCmd struct {
	Settings string `arg:"-s,--settings,required" placeholder:"FILE" help:"settings, JSON with comments"`
}

const (
	// dialTimeout bounds the opening of connections to targets and peers.
	dialTimeout = 3 * time.Second
	// minPeerKey is the least length of the shared key, in bytes.
	minPeerKey = 32
)

func (s *serveCmd) run(ctx context.Context, c *console) error {
	set, err := settings.Load(s.Settings)
	if err != nil {
		return usage(err)
	}
	env, err := environment(set, c)
	if err != nil {
		return usage(err)
	}
	n, err := node.Provision(set, env)
	if err != nil {
		return err
	}
	// A signal starts the graceful shutdown; a second one, which restores the
	// default action, ends the process at once.
	stop := context.AfterFunc(ctx, n.RequestStop)
	defer stop()
	return n.Serve(context.WithoutCancel(ctx))
}

func environment(set settings.Settings, c *console) (node.Env, error) {
	key, err := os.ReadFile(set.Peers.KeyFile)
	if err != nil {
		return node.Env{}, eris.Wrap(err, "peers.key_file")
	}
	key = bytes.TrimSpace(key)
	if len(key) < minPeerKey {
		return node.Env{}, eris.Errorf("peers.key_file: the key has %d bytes: write %d or more", len(key), minPeerKey)
	}
	token, err := readToken(set.Platform.TokenFile)
	if err != nil {
		return node.Env{}, eris.Wrap(err, "platform.token_file")
	}
	dialer := &net.Dialer{Timeout: dialTimeout}
	return node.Env{
		Dial: dialer.DialContext, Listen: listenTCP, ListenPacket: listenUDP,
		Store:   platform.NewClient(set.Platform.Addr, token, set.Platform.Timeout.Std()),
		PeerKey: key, NewID: newID, Seed: rand.Uint64(),
		Log: newLogger(c.err, set.Log.Level, set.Log.Format),
	}, nil
}

// readToken reads a token from a file; "" is no token.
func readToken(path string) (string, error) {
	if path == "" {
		return "", nil
	}
	b, err := os.ReadFile(path)
	return string(bytes.TrimSpace(b)), err
}
