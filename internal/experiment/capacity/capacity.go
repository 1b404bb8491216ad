// Package capacity measures what decisions of the product cost by the size of the fleet. It runs the
// packages that serve, in one process and without a network, at several sizes, and tells how each
// cost grows.
package capacity

import (
	"math"
	"runtime"
	"slices"
	"time"

	"gonum.org/v1/gonum/stat"
)

// Size is a fleet.
type Size struct {
	// Hosts is the number of nodes, Targets that of all targets.
	Hosts   int `json:"hosts"`
	Targets int `json:"targets"`
}

// Figure is what one cost is at one size.
type Figure struct {
	Size
	// Value is in the unit of its Cost, Allocations are of memory in one run.
	Value       float64 `json:"value"`
	Allocations float64 `json:"allocations"`
}

// Cost is one cost at all sizes.
type Cost struct {
	Name string `json:"name"`
	Unit string `json:"unit"`
	// Who pays it.
	Role    string   `json:"role"`
	Figures []Figure `json:"figures"`
	// Power is by which power of the hosts it grows.
	Power float64 `json:"power"`
}

// measure is a cost that can be measured. run returns its value at a size.
type measure struct {
	name, unit, role string
	run              func(s Size) Figure
}

// dataCentres is the number of data centres of a fleet.
const dataCentres = 6

// Measure measures all costs at some sizes. done is called after each figure.
func Measure(sizes []Size, done func()) []Cost {
	var out []Cost
	for _, m := range allMeasures() {
		c := Cost{Name: m.name, Unit: m.unit, Role: m.role}
		for _, s := range sizes {
			f := m.run(s)
			f.Size = s
			c.Figures = append(c.Figures, f)
			done()
		}
		c.Power = power(c.Figures)
		out = append(out, c)
	}
	return out
}

// Measures returns how many costs there are.
func Measures() int { return len(allMeasures()) }

func allMeasures() []measure { return append(slices.Clone(measures), trafficMeasures()...) }

// power is the slope of a cost over the hosts, by logarithms. Costs that are 0 grow by none.
func power(figures []Figure) float64 {
	var x, y []float64
	for _, f := range figures {
		if f.Value > 0 {
			x, y = append(x, math.Log(float64(f.Hosts))), append(y, math.Log(f.Value))
		}
	}
	if len(x) < 2 {
		return 0
	}
	_, slope := stat.LinearRegression(x, y, nil, false)
	return slope
}

const (
	// leastRuns and leastTime are how often, and for how long, a decision is made for one figure.
	leastRuns = 20
	leastTime = 50 * time.Millisecond
)

// micros returns the processor time of one run of f, in microseconds, with its allocations.
func micros(f func()) Figure {
	f()
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	began, runs := time.Now(), 0
	for ; runs < leastRuns || time.Since(began) < leastTime; runs++ {
		f()
	}
	took := time.Since(began)
	runtime.ReadMemStats(&after)
	return Figure{
		Value:       float64(took.Microseconds()) / float64(runs),
		Allocations: float64(after.Mallocs-before.Mallocs) / float64(runs),
	}
}
