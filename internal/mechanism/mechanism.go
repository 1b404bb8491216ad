// Package mechanism names the mechanisms of pass-through serving that an experiment can
// disable individually, to measure the effect of each. In production all are enabled.
package mechanism

import (
	"math/bits"
	"slices"
	"strings"

	"github.com/rotisserie/eris"
)

// Set is a set of mechanisms; the zero value is empty. It implements
// encoding.TextUnmarshaler for lists of names separated by commas.
type Set uint32

// The mechanisms.
const (
	// CopyPrompts: engines copy the parts of a prompt that they have not cached from other
	// engines.
	CopyPrompts Set = 1 << iota
	// PromptAffinity: all nodes prefer the same engines for a shared part of a prompt.
	PromptAffinity
	// NearInputs: engines near the stage results that they fetch are preferred.
	NearInputs
	// MakerPlace: stage results are produced in the data centre where they are read, or
	// where their inputs are.
	MakerPlace
	// WaitForPlace: stage orders wait for a limited time for a target in that data centre.
	WaitForPlace
	// LateBigResults: large results that only the engine reads are produced last.
	LateBigResults
	// EarlyRelease: results that were read are released before their reader ends, if free
	// capacity for results is short.
	EarlyRelease
	// RefuseHopeless: late requests that are not expected to finish by their deadline are
	// refused at once.
	RefuseHopeless
	// GiveUpHopeless: late stage orders that are not expected to finish by their deadline
	// are ended.
	GiveUpHopeless
	// Ranks: each level of lower priority delays the turn of a stage order in its queue by a
	// fixed time.
	Ranks
	// WholeOrders: all pieces of a stage order go into one call, if they fit.
	WholeOrders
	// SecondCall: the pieces of a call that takes too long are sent again in another call.
	SecondCall
	// SlowTargets: slow targets of stage pools are called only occasionally.
	SlowTargets
	// Hedges: plain requests that may be repeated go to a second target when the first
	// is slow.
	Hedges
	// SilentEngines: resumable streams move to another engine if theirs sends no events.
	SilentEngines
	// Relays: nodes follow the store through one node of their data centre.
	Relays
)

// names lists the mechanisms in the order of their bits.
var names = []string{
	"copy-prompts", "prompt-affinity", "near-inputs", "maker-place", "wait-for-place",
	"late-big-results", "early-release", "refuse-hopeless", "give-up-hopeless", "ranks",
	"whole-orders", "second-call", "slow-targets", "hedges", "silent-engines", "relays",
}

// Names returns the names of all mechanisms.
func Names() []string { return slices.Clone(names) }

// Has reports whether the set contains a mechanism.
func (s Set) Has(m Set) bool { return s&m != 0 }

// String returns the names of the set's mechanisms, separated by commas.
func (s Set) String() string {
	var out []string
	for rest := s; rest != 0; rest &= rest - 1 {
		out = append(out, names[bits.TrailingZeros32(uint32(rest))])
	}
	return strings.Join(out, ",")
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (s *Set) UnmarshalText(text []byte) error {
	*s = 0
	for _, name := range strings.Split(string(text), ",") {
		i := slices.Index(names, strings.TrimSpace(name))
		if i < 0 {
			return eris.Errorf("%q is no mechanism: write some of %s", name, strings.Join(names, ","))
		}
		*s |= 1 << i
	}
	return nil
}
