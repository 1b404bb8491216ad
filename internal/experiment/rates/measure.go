package rates

import (
	"math"
	"slices"
	"time"

	"gonum.org/v1/gonum/stat"

	"topazmoor/internal/sharedrate"
)

// Result is what one run showed. The first seconds, in which limits are heard of, are left out.
type Result struct {
	// Fullest is the most that a target got in any span against what it allows; above 1 is too
	// much.
	Fullest float64 `json:"fullest"`
	// Used is the part of the rate that was used, of what callers asked for and the rate allows.
	Used float64 `json:"used"`
	// UsedLast is the same for the last quarter of the run.
	UsedLast float64 `json:"used_last"`
	// Refused is the part of the requests that got no permit, RefusedWithRoom of those that the
	// target had room for.
	Refused         float64 `json:"refused"`
	RefusedWithRoom float64 `json:"refused_with_room"`
	// DelayMS is the time until a request was sent, 99 in 100.
	DelayMS float64 `json:"delay_ms"`
	// AsksPerNode and BytesPerNode are messages and bytes in a second, of the mean node, and
	// BusiestBytes of the busiest.
	AsksPerNode  float64 `json:"asks_per_node"`
	BytesPerNode float64 `json:"bytes_per_node"`
	BusiestBytes float64 `json:"busiest_bytes"`
	// Got is what the first target got in each second, Allowed what it allows; 0 for any
	// number.
	Got     []float64 `json:"got"`
	Allowed []float64 `json:"allowed"`
}

// limitsHeard is how long after a change of the rate spans are not held against the new one.
const limitsHeard = 3 * time.Second

// result works the figures out.
func (r *run) result(end time.Duration) Result {
	seconds := end.Seconds()
	res := Result{Allowed: make([]float64, r.Seconds), Got: make([]float64, r.Seconds)}
	for _, t := range r.targets {
		res.Fullest = max(res.Fullest, fullest(t.arrivals))
	}
	for _, a := range r.targets[0].arrivals {
		res.Got[min(int(a.at/time.Second), r.Seconds-1)]++
	}
	for i := range res.Allowed {
		if rate := r.rateAt(time.Duration(i) * time.Second); !math.IsInf(rate, 1) {
			res.Allowed[i] = rate
		}
	}
	res.Used, res.UsedLast = r.used(warmUp, end), r.used(end-end/4, end)
	if wanted := float64(len(r.tally.wantedAt)); wanted > 0 {
		res.Refused = float64(r.tally.refused) / wanted
		res.RefusedWithRoom = float64(r.tally.refusedWithRoom) / wanted
	}
	if len(r.tally.delays) > 0 {
		ms := make([]float64, len(r.tally.delays))
		for i, d := range r.tally.delays {
			ms[i] = float64(d) / float64(time.Millisecond)
		}
		slices.Sort(ms)
		res.DelayMS = stat.Quantile(0.99, stat.Empirical, ms, nil)
	}
	sum, most := 0, 0
	for _, n := range r.tally.asks {
		sum, most = sum+n, max(most, n)
	}
	// Each ask counts at both ends.
	res.AsksPerNode = float64(sum) / 2 / float64(r.Nodes) / seconds
	res.BytesPerNode = float64(sum) * askBytes / 2 / float64(r.Nodes) / seconds
	res.BusiestBytes = float64(most) * askBytes / seconds
	return res
}

// used is the part of the rate that was used from one moment to another, of what callers asked for
// and the rate allows.
func (r *run) used(from, to time.Duration) float64 {
	allowed, wanted, sent := 0.0, 0, 0
	for at := from; at < to; at += time.Second {
		allowed += r.rateAt(at) * min(time.Second, to-at).Seconds() * float64(r.Targets)
	}
	for _, at := range r.tally.wantedAt {
		if at >= from && at < to {
			wanted++
		}
	}
	for _, t := range r.targets {
		for _, a := range t.arrivals {
			if a.at >= from && a.at < to {
				sent++
			}
		}
	}
	if possible := min(allowed, float64(wanted)); possible > 0 {
		return float64(sent) / possible
	}
	return 0
}

// rateAt is the rate that the targets name at a moment; 0 while they name none.
func (r *run) rateAt(at time.Duration) float64 {
	rate := r.PerSecond
	for _, t := range r.Troubles {
		begin := time.Duration(t.AtMS) * time.Millisecond
		switch {
		case t.Kind == "change" && begin <= at:
			rate *= t.Times
		case t.Kind == "end" && begin <= at && at < begin+time.Duration(t.ForMS)*time.Millisecond:
			return math.Inf(1)
		}
	}
	return rate
}

// fullest is the most arrivals in a span against what was allowed in it. Spans in which there was
// no limit, or a lower one was named less than limitsHeard before, do not count.
func fullest(arrivals []arrival) float64 {
	worst, last := 0.0, 0
	named := warmUp
	for i, first := range arrivals {
		if i > 0 && first.rate < arrivals[i-1].rate {
			named = first.at + limitsHeard
		}
		if first.at < named || math.IsInf(first.rate, 1) {
			continue
		}
		last = max(last, i)
		for last+1 < len(arrivals) && arrivals[last+1].at-first.at <= sharedrate.BoundWindow {
			last++
		}
		rate := 0.0
		for _, a := range arrivals[i : last+1] {
			rate = max(rate, a.rate)
		}
		if !math.IsInf(rate, 1) {
			worst = max(worst, float64(last-i+1)/(sharedrate.BoundFactor*sharedrate.BoundWindow.Seconds()*rate+sharedrate.BoundBurst))
		}
	}
	return worst
}
