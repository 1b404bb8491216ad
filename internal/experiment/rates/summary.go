package rates

import (
	"math"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"
)

// Summary is a scenario played with one way and several seeds.
type Summary struct {
	Scenario string `json:"scenario"`
	Way      Way    `json:"way"`
	Seeds    int    `json:"seeds"`
	// Fullest is the largest of all seeds; the others are means.
	Fullest         float64  `json:"fullest"`
	Used            Interval `json:"used"`
	Refused         Interval `json:"refused"`
	RefusedWithRoom Interval `json:"refused_with_room"`
	DelayMS         Interval `json:"delay_ms"`
	BytesPerNode    Interval `json:"bytes_per_node"`
}

// Interval is a mean with half of its 95% confidence interval over seeds; 0 with one seed.
type Interval struct {
	Mean float64 `json:"mean"`
	Half float64 `json:"half"`
}

// confidence is the two-sided level of intervals.
const confidence = 0.95

func intervalOf(values []float64) Interval {
	mean, deviation := stat.MeanStdDev(values, nil)
	if len(values) < 2 {
		return Interval{Mean: mean}
	}
	n := float64(len(values))
	t := distuv.StudentsT{Sigma: 1, Nu: n - 1}.Quantile(1 - (1-confidence)/2)
	return Interval{Mean: mean, Half: t * deviation / math.Sqrt(n)}
}

// Summarize plays a scenario with one way and seeds from 1 on. played is called after each.
func Summarize(s Scenario, way Way, seeds int, played func()) Summary {
	out := Summary{Scenario: s.Name, Way: way, Seeds: seeds}
	var used, refused, room, delay, bytes []float64
	for seed := range seeds {
		r := Play(s, way, uint64(seed+1))
		out.Fullest = max(out.Fullest, r.Fullest)
		used, refused, room = append(used, r.Used), append(refused, r.Refused), append(room, r.RefusedWithRoom)
		delay, bytes = append(delay, r.DelayMS), append(bytes, r.BytesPerNode)
		played()
	}
	out.Used, out.Refused, out.RefusedWithRoom = intervalOf(used), intervalOf(refused), intervalOf(room)
	out.DelayMS, out.BytesPerNode = intervalOf(delay), intervalOf(bytes)
	return out
}
