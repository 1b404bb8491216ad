package rollouts

import (
	"fmt"
	"io"
	"slices"
	"time"

	"topazmoor/internal/experiment/report"
	"topazmoor/internal/rollout"
)

// Summary is all versions of a kind, played on fleets of one size.
type Summary struct {
	Nodes int  `json:"nodes"`
	Bad   bool `json:"bad"`
	// Runs is the number of orders, Wrong that of those that ended as they should not.
	Runs  int `json:"runs"`
	Wrong int `json:"wrong"`
	// PastBound is the number of bad versions that got more than they may, Late that of those that
	// got calls after they must be known; Exposure is the largest part of the bound.
	PastBound int     `json:"past_bound"`
	Late      int     `json:"late"`
	Exposure  float64 `json:"exposure"`
	// VerdictMS is the middle time to the verdict, OwnerBytes what an owner gets a second.
	VerdictMS  float64 `json:"verdict_ms"`
	OwnerBytes float64 `json:"owner_bytes"`
	// Failed names the versions that ended wrongly, or got too much, with the reason of the first
	// such run.
	Failed []string `json:"failed,omitempty"`
}

// Summarize plays versions, all good or all bad, with seeds from 1 on. played is called after each.
func Summarize(s Scenario, versions []Version, seeds int, size func(rollout.Report) int, played func()) Summary {
	out := Summary{Nodes: s.Nodes, Bad: versions[0].Bad}
	var verdicts []time.Duration
	var bytes, seconds float64
	for _, v := range versions {
		failed := ""
		for seed := range seeds {
			r := Play(s, v, uint64(seed+1), size)
			played()
			out.Runs++
			want := rollout.Completed
			if v.Bad {
				want = rollout.RolledBack
				out.Exposure = max(out.Exposure, r.Exposure)
			}
			wrong, past, late := r.State != want, v.Bad && r.Exposure > 1, v.Bad && r.Late > 0
			out.Wrong += one(wrong)
			out.PastBound += one(past)
			out.Late += one(late)
			if failed == "" && (wrong || past || late) {
				failed = fmt.Sprintf("%s (seed %d, %s: %s)", v.Name, seed+1, r.State, r.Reason)
			}
			end := s.Lasts
			if r.State.Final() {
				end = r.Verdict
			}
			verdicts = append(verdicts, end)
			bytes += float64(r.Bytes)
			seconds += end.Seconds()
		}
		if failed != "" {
			out.Failed = append(out.Failed, failed)
		}
	}
	slices.Sort(verdicts)
	out.VerdictMS = float64(verdicts[len(verdicts)/2].Milliseconds())
	out.OwnerBytes = bytes / seconds
	return out
}

func one(is bool) int {
	if is {
		return 1
	}
	return 0
}

// Draw writes summaries as a picture, by the size of the fleet.
func Draw(w io.Writer, list []Summary) error {
	kinds := map[bool]string{false: "good versions", true: "bad versions"}
	verdicts := report.Chart{Title: "Middle time to the verdict", X: "nodes", Y: "ms"}
	exposure := report.Chart{Title: "Largest part of the bound", X: "nodes", Y: "part"}
	bytes := report.Chart{Title: "What an owner gets", X: "nodes", Y: "B/s", Log: true}
	for _, bad := range []bool{false, true} {
		v, e, b := report.Line{Name: kinds[bad]}, report.Line{Name: kinds[bad]}, report.Line{Name: kinds[bad]}
		for _, s := range list {
			if s.Bad != bad {
				continue
			}
			v.Points = append(v.Points, report.Point{X: float64(s.Nodes), Y: s.VerdictMS})
			e.Points = append(e.Points, report.Point{X: float64(s.Nodes), Y: s.Exposure})
			b.Points = append(b.Points, report.Point{X: float64(s.Nodes), Y: s.OwnerBytes})
		}
		verdicts.Lines, bytes.Lines = append(verdicts.Lines, v), append(bytes.Lines, b)
		if bad {
			exposure.Lines = append(exposure.Lines, e)
		}
	}
	return report.WriteSVG(w, []report.Chart{verdicts, exposure, bytes})
}
