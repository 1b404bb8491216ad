package cli

import (
	"context"
	"fmt"
	"io"
	"os"

	"github.com/rotisserie/eris"

	"topazmoor/internal/catalog"
	"topazmoor/internal/region"
	"topazmoor/internal/settings"
	"topazmoor/platform"
)

// checkCmd validates files without a node.
type checkCmd struct {
	Settings  string   `arg:"-s,--settings" placeholder:"FILE" help:"settings to check; manifests are checked against their pools"`
	Platform  string   `arg:"--platform" placeholder:"FILE" help:"settings file of the platform to check"`
	Hash      string   `arg:"--hash" placeholder:"TOKEN" help:"print the SHA-256 of a token, as settings and manifests want it"`
	Manifests []string `arg:"positional" placeholder:"FILE" help:"manifests to check, in this order"`
}

// checkResult is the output of a check.
type checkResult struct {
	Settings string `json:"settings,omitempty"`
	Accounts int    `json:"accounts"`
	SHA256   string `json:"sha256,omitempty"`
}

func (k *checkCmd) run(_ context.Context, c *console) error {
	if k.Hash != "" {
		return c.print(checkResult{SHA256: hashToken(k.Hash)}, func(w io.Writer) { fmt.Fprintln(w, hashToken(k.Hash)) })
	}
	if k.Platform != "" {
		return checkPlatform(c, k.Platform)
	}
	if k.Settings == "" {
		return usage(eris.New("give --settings FILE, --platform FILE, or --hash TOKEN"))
	}
	set, err := settings.Load(k.Settings)
	if err != nil {
		return usage(err)
	}
	cfg := catalog.New(set.Pools)
	for i, file := range k.Manifests {
		cfg, err = checkManifest(cfg, int64(i+1), file, set.Regions.DataCentres)
		if err != nil {
			return usage(err)
		}
	}
	res := checkResult{Settings: k.Settings, Accounts: cfg.Accounts()}
	return c.print(res, func(w io.Writer) { fmt.Fprintf(w, "ok: %s, %d accounts\n", k.Settings, res.Accounts) })
}

// checkPlatform validates a settings file of the platform.
func checkPlatform(c *console, file string) error {
	set, _, err := platform.LoadSettings(file)
	if err != nil {
		return usage(err)
	}
	res := checkResult{Settings: file}
	return c.print(res, func(w io.Writer) { fmt.Fprintf(w, "ok: %s, node %s in %s\n", file, set.Node, set.DataCentre) })
}

func checkManifest(cfg *catalog.Compiled, revision int64, file string, regions region.Map) (*catalog.Compiled, error) {
	src, err := os.ReadFile(file)
	if err != nil {
		return nil, eris.Wrap(err, "read manifest")
	}
	m, err := catalog.ParseManifest(src)
	if err != nil {
		return nil, catalog.AddLines(err, file, src)
	}
	items, err := m.Items()
	if err != nil {
		return nil, err
	}
	next, err := cfg.Apply(revision, items)
	if err == nil {
		err = next.CheckRegions(items, regions).Err()
	}
	if err != nil {
		return nil, catalog.AddLines(err, file, src)
	}
	return next, nil
}
