package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"topazmoor/internal/standin"
	platformstandin "topazmoor/platform/standin"
)

// standinCmd runs the stand-in platform and targets as one process.
type standinCmd struct {
	Addr  string `arg:"--addr" default:"127.0.0.1:9000" help:"IP:port of the stand-in platform"`
	Scale int    `arg:"--scale" default:"1" help:"multiply the number of targets of each pool"`
}

// maxFaults bounds the body of a fault call, in bytes.
const maxFaults = 4 << 10

// standinInfo is printed at start.
type standinInfo struct {
	Platform string            `json:"platform"`
	Targets  map[string]string `json:"targets"`
}

func (s *standinCmd) run(ctx context.Context, c *console) error {
	specs := standin.Harbour()
	for i := range specs {
		specs[i].Targets *= max(s.Scale, 1)
	}
	world, err := standin.NewWorld(specs, listenTCP)
	if err != nil {
		return err
	}
	defer world.Close()
	ln, err := net.Listen("tcp", s.Addr)
	if err != nil {
		return usage(eris.Wrap(err, "--addr"))
	}
	mux := http.NewServeMux()
	mux.Handle("/", platformstandin.NewStore(world.Store))
	mux.HandleFunc("PUT /targets/{id}/faults", func(w http.ResponseWriter, r *http.Request) { setTargetFaults(world, w, r) })
	srv := &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second}
	stop := context.AfterFunc(ctx, func() { srv.Close() })
	defer stop()
	info := standinInfo{Platform: ln.Addr().String(), Targets: world.Addrs}
	err = c.print(info, func(w io.Writer) { printWorld(w, info) })
	if err != nil {
		return err
	}
	if err := srv.Serve(ln); ctx.Err() == nil {
		return err
	}
	return nil
}

func printWorld(w io.Writer, info standinInfo) {
	fmt.Fprintln(w, "platform", info.Platform)
	for id, addr := range info.Targets {
		fmt.Fprintln(w, "target", id, addr)
	}
	fmt.Fprintln(w, "set faults: PUT /faults (platform), PUT /targets/ID/faults; see docs/operating/stand-ins.md")
}

func setTargetFaults(world *standin.World, w http.ResponseWriter, r *http.Request) {
	t := world.Targets[r.PathValue("id")]
	if t == nil {
		http.Error(w, "no such target", http.StatusNotFound)
		return
	}
	var f standin.TargetFaults
	if err := json.NewDecoder(io.LimitReader(r.Body, maxFaults)).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	t.SetFaults(f)
}
