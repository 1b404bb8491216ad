// Package report draws results of experiments as pictures.
package report

import (
	"io"
	"math"

	"github.com/rotisserie/eris"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

// Point is one figure.
type Point struct{ X, Y float64 }

// Line is figures of one kind.
type Line struct {
	Name   string
	Points []Point
}

// Chart is lines over one axis.
type Chart struct {
	Title, X, Y string
	// Log draws both axes by logarithms: a slope is then a power.
	Log   bool
	Lines []Line
}

const (
	chartWidth  = 14 * vg.Centimeter
	chartHeight = 9 * vg.Centimeter
	legendSize  = 8
	// legendPart is the part of a chart's height that one line of its legend takes.
	legendPart = 0.09
	// chartsInARow is how many charts stand beside each other.
	chartsInARow = 2
)

// WriteSVG draws charts into one picture.
func WriteSVG(w io.Writer, charts []Chart) error {
	rows := (len(charts) + chartsInARow - 1) / chartsInARow
	canvas := vgsvg.New(chartsInARow*chartWidth, vg.Length(rows)*chartHeight)
	tiles := draw.Tiles{Rows: max(rows, 1), Cols: chartsInARow}
	area := draw.New(canvas)
	for i, c := range charts {
		p, err := c.plot()
		if err != nil {
			return err
		}
		p.Draw(draw.Crop(tiles.At(area, i%chartsInARow, i/chartsInARow), 0, -vg.Centimeter, 0, -vg.Centimeter/2))
	}
	_, err := canvas.WriteTo(w)
	return eris.Wrap(err, "write picture")
}

func (c Chart) plot() (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = c.Title, c.X, c.Y
	p.Legend.Top, p.Legend.Left = true, true
	p.Legend.TextStyle.Font.Size = vg.Points(legendSize)
	p.Add(plotter.NewGrid())
	var lines []any
	for _, l := range c.Lines {
		points := make(plotter.XYs, 0, len(l.Points))
		for _, at := range l.Points {
			if c.Log && (at.X <= 0 || at.Y <= 0) {
				// It has no logarithm.
				continue
			}
			points = append(points, plotter.XY{X: at.X, Y: at.Y})
		}
		if len(points) > 0 {
			lines = append(lines, l.Name, points)
		}
	}
	if len(lines) == 0 {
		return p, nil
	}
	if c.Log {
		p.X.Scale, p.Y.Scale = plot.LogScale{}, plot.LogScale{}
		p.X.Tick.Marker, p.Y.Tick.Marker = plot.LogTicks{Prec: -1}, plot.LogTicks{Prec: -1}
	}
	if err := plotutil.AddLinePoints(p, lines...); err != nil {
		return nil, eris.Wrap(err, "draw chart")
	}
	c.makeRoom(p)
	return p, nil
}

// makeRoom leaves room for the legend above the lines.
func (c Chart) makeRoom(p *plot.Plot) {
	part := legendPart * float64(len(c.Lines))
	if c.Log {
		p.Y.Max *= math.Pow(max(p.Y.Max/p.Y.Min, 10), part)
		p.Y.Min /= 2
		return
	}
	p.Y.Max += (p.Y.Max - min(p.Y.Min, 0)) * part
	p.Y.Min = min(p.Y.Min, 0)
}
