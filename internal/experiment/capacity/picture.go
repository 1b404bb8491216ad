package capacity

import (
	"fmt"
	"io"

	"topazmoor/internal/experiment/report"
)

// Draw writes the costs as a picture, a chart for each unit.
func Draw(w io.Writer, costs []Cost) error {
	var charts []report.Chart
	place := make(map[string]int)
	for _, c := range costs {
		i, ok := place[c.Unit]
		if !ok {
			i = len(charts)
			place[c.Unit] = i
			charts = append(charts, report.Chart{Title: "Costs in " + c.Unit, X: "hosts", Y: c.Unit, Log: true})
		}
		line := report.Line{Name: fmt.Sprintf("%s (%.2f)", c.Name, c.Power)}
		for _, f := range c.Figures {
			line.Points = append(line.Points, report.Point{X: float64(f.Hosts), Y: f.Value})
		}
		charts[i].Lines = append(charts[i].Lines, line)
	}
	return report.WriteSVG(w, charts)
}
