package cli

import (
	"bytes"
	"context"
	"log/slog"
	"math/rand/v2"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"topazmoor/internal/boundedlog"
	"topazmoor/internal/mechanism"
	"topazmoor/internal/node"
	"topazmoor/internal/settings"
	"topazmoor/internal/sockets"
	"topazmoor/platform"
)

// serveCmd runs one node.
type serveCmd struct {
	Settings string `arg:"-s,--settings" placeholder:"FILE" help:"settings, JSON with comments"`
	Platform bool   `arg:"--platform" help:"run on the platform, with its settings file, as an entry node for pass-through requests"`
	// Without is for experiments.
	Without mechanism.Set `arg:"--without" placeholder:"LIST" help:"with --platform, for experiments: mechanisms to switch off, separated by commas"`
}

const (
	// dialTimeout bounds the opening of connections to targets and peers.
	dialTimeout = 3 * time.Second
	// memoryShare is the fraction of the memory of the process that becomes the soft limit of the Go runtime; the rest is
	// for memory that the runtime does not count.
	memoryShare = 0.75
	// minPeerKey is the least length of the shared key, in bytes.
	minPeerKey = 32
)

func (s *serveCmd) run(ctx context.Context, c *console) error {
	if s.Platform {
		return s.servePlatform(ctx, c)
	}
	if s.Settings == "" {
		return usage(eris.New("--settings is missing: name a settings file, or write --platform"))
	}
	set, err := settings.Load(s.Settings)
	if err != nil {
		return usage(err)
	}
	env, err := environment(set, c)
	if err != nil {
		return usage(err)
	}
	debug.SetMemoryLimit(int64(memoryShare * float64(set.Limits.MemoryBytes)))
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
	dialer := sockets.NewDialer(sockets.Options{Timeout: dialTimeout})
	return node.Env{
		Dial: dialer.DialContext, Listen: listenTCP, ListenPacket: listenUDP,
		Store:   platform.NewStoreClient(set.Platform.Addr, set.Platform.Timeout.Std()),
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

// servePlatform runs an entry node on the platform.
func (s *serveCmd) servePlatform(ctx context.Context, c *console) error {
	// Registered first: a SIGHUP without a handler ends the process.
	hangUps := make(chan os.Signal, 1)
	signal.Notify(hangUps, syscall.SIGHUP)
	defer signal.Stop(hangUps)
	out := boundedlog.New(c.out)
	defer out.Close()
	log := slog.New(boundedlog.NewSampler(newLogger(out, "info", "json").Handler()))
	n, err := platform.Provision(os.Getenv(platform.SettingsEnv), log, out.Dropped, s.Without)
	if err != nil {
		return usage(err)
	}
	go func() {
		for range hangUps {
			n.Reload()
		}
	}()
	return platform.Serve(ctx, n)
}
