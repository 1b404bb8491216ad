package cli

import (
	"context"
	"fmt"
	"io"
	"os"
	"strconv"
	"strings"
	"text/tabwriter"

	"github.com/rotisserie/eris"

	"topazmoor/internal/experiment/capacity"
)

// capacityCmd measures what decisions cost by the size of the fleet.
type capacityCmd struct {
	Hosts   string `arg:"--hosts" default:"100,400,1000,2000" help:"sizes of fleets, in hosts"`
	Targets int    `arg:"--targets-per-host" default:"10" help:"targets for each host"`
	SVG     string `arg:"--svg" placeholder:"FILE" help:"also draw the costs into a picture"`
}

func (m *capacityCmd) run(_ context.Context, c *console) error {
	sizes, err := m.sizes()
	if err != nil {
		return usage(err)
	}
	done, all := 0, len(sizes)*capacity.Measures()
	costs := capacity.Measure(sizes, func() {
		if done++; onTerminal(os.Stderr) {
			fmt.Fprintf(c.err, "\r%d of %d figures", done, all)
		}
	})
	if onTerminal(os.Stderr) {
		fmt.Fprintln(c.err)
	}
	if m.SVG != "" {
		if err := drawTo(m.SVG, func(w io.Writer) error { return capacity.Draw(w, costs) }); err != nil {
			return err
		}
	}
	return c.print(costs, func(w io.Writer) { writeCosts(w, costs) })
}

// mostHosts and mostTargetsPerHost bound fleets, so that a mistake does not run for hours.
const (
	mostHosts          = 20_000
	mostTargetsPerHost = 100
)

func (m *capacityCmd) sizes() ([]capacity.Size, error) {
	if m.Targets < 1 || m.Targets > mostTargetsPerHost {
		return nil, fmt.Errorf("--targets-per-host is %d: write 1 to %d", m.Targets, mostTargetsPerHost)
	}
	hosts, err := fleetSizes(m.Hosts)
	if err != nil {
		return nil, err
	}
	var out []capacity.Size
	for _, n := range hosts {
		out = append(out, capacity.Size{Hosts: n, Targets: n * m.Targets})
	}
	return out, nil
}

// fleetSizes reads sizes of fleets, in hosts.
func fleetSizes(list string) ([]int, error) {
	var out []int
	for _, field := range strings.Split(list, ",") {
		n, err := strconv.Atoi(strings.TrimSpace(field))
		if err != nil || n < 1 || n > mostHosts {
			return nil, fmt.Errorf("--hosts has %q: write numbers from 1 to %d, separated by commas", field, mostHosts)
		}
		out = append(out, n)
	}
	return out, nil
}

// drawTo writes a picture into a file.
func drawTo(path string, draw func(io.Writer) error) error {
	f, err := os.Create(path)
	if err != nil {
		return eris.Wrap(err, "picture")
	}
	if err := draw(f); err != nil {
		f.Close()
		return err
	}
	return eris.Wrap(f.Close(), "picture")
}

// writeCosts writes a table, a line for each cost.
func writeCosts(w io.Writer, costs []capacity.Cost) {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	// A failed write of the console shows on the console.
	head := "cost\tunit\trole"
	for _, f := range costs[0].Figures {
		head += fmt.Sprintf("\t%d hosts", f.Hosts)
	}
	_, _ = fmt.Fprintln(tw, head+"\tpower")
	for _, c := range costs {
		line := c.Name + "\t" + c.Unit + "\t" + c.Role
		for _, f := range c.Figures {
			line += fmt.Sprintf("\t%.4g", f.Value)
		}
		_, _ = fmt.Fprintf(tw, "%s\t%.2f\n", line, c.Power)
	}
	_ = tw.Flush()
}
