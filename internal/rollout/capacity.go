package rollout

import (
	"fmt"
	"math"
	"strings"
)

// Targets counts the usable targets of a service by version.
type Targets struct {
	// New counts the targets of the order's version, Warm those of them whose warm-up is over.
	New, Warm int
	// ColdRate is how many calls a second the cold ones of them can take in total; infinite if their
	// rates are not bounded.
	ColdRate float64
	// Old counts the targets of all other versions.
	Old int
	// Uncovered lists the regions that would have no target if the old version stopped, sorted.
	Uncovered []string
}

const (
	// minCapacity is the capacity of the new version, as a share of the calls, below which it does
	// not replace the old one.
	minCapacity = 0.5
	// maxUncoveredShare is the largest share of the calls that moves while a region depends on the old
	// version: its stage pools, whose calls are divided by the share alone, need targets there too.
	maxUncoveredShare = 0.9
)

// capacity returns the share of the calls, from 0 to 1, that the new version can take, given the rate of
// all calls; perSecond is 0 if that is unknown. A warm target can take as many calls as one of the old
// version. Where the new version has fewer targets than the old one, all of them together are meant to
// take all calls.
func (t Targets) capacity(perSecond float64) float64 {
	needed := min(t.New, t.Old)
	if needed == 0 {
		return 1
	}
	share := float64(t.Warm) / float64(needed)
	if perSecond > 0 {
		share += t.ColdRate / perSecond
	}
	return min(share, 1)
}

// shareSteps is the number of steps to which shares that follow the rate of calls are rounded, for each
// doubling: every change of the share is sent to all nodes.
const shareSteps = 4

// roundShare rounds a share down to a step; 0 if it is negative.
func roundShare(share float64) float64 {
	if share <= 0 {
		return 0
	}
	return math.Exp2(math.Floor(shareSteps*math.Log2(share)) / shareSteps)
}

// obstacle returns why the old version cannot stop yet; "" if it can.
func (t Targets) obstacle(perSecond float64) string {
	switch {
	case len(t.Uncovered) > 0:
		return "no warm target of the version in " + strings.Join(t.Uncovered, ", ")
	case t.capacity(perSecond) < minCapacity:
		return fmt.Sprintf("%d of %d targets of the version are warm, %d of the old one would stop", t.Warm, t.New, t.Old)
	}
	return ""
}
