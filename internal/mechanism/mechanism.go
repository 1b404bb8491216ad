// Package mechanism names the mechanisms of pass-through serving that can be switched off
// one by one in an experiment, to learn what each is worth. In production all are on.
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
	// CopyPrompts: engines copy from each other what they lack of a prompt.
	CopyPrompts Set = 1 << iota
	// PromptAffinity: all nodes prefer the same engines for a shared part of a prompt.
	PromptAffinity
	// NearInputs: engines near the results that they fetch are preferred.
	NearInputs
	// MakerPlace: results are made in the data centre where they are read, or what they
	// are made of lies.
	MakerPlace
	// WaitForPlace: orders wait for a while for a target in that data centre.
	WaitForPlace
	// LateBigResults: big results that only the engine reads are made last.
	LateBigResults
	// EarlyRelease: results that were read are given up before their reader ends, where
	// room is short.
	EarlyRelease
	// RefuseHopeless: late requests that will not be done by their deadline are refused
	// at once.
	RefuseHopeless
	// GiveUpHopeless: late orders that will not be done by their deadline are ended.
	GiveUpHopeless
	// Ranks: urgent orders have a head start.
	Ranks
	// WholeOrders: the pieces of an order go into one call.
	WholeOrders
	// SecondCall: the pieces of a call that takes too long are put into another one.
	SecondCall
	// SlowTargets: slow members of stage pools are called only now and then.
	SlowTargets
	// Hedges: plain requests that may be repeated go to a second target when the first
	// is slow.
	Hedges
	// SilentEngines: streams that may go on elsewhere leave an engine that is silent.
	SilentEngines
	// Relays: nodes follow the store through one of their data centre.
	Relays
)

// names has the mechanisms in the order of their bits.
var names = []string{
	"copy-prompts", "prompt-affinity", "near-inputs", "maker-place", "wait-for-place",
	"late-big-results", "early-release", "refuse-hopeless", "give-up-hopeless", "ranks",
	"whole-orders", "second-call", "slow-targets", "hedges", "silent-engines", "relays",
}

// Names lists all mechanisms.
func Names() []string { return slices.Clone(names) }

// Has reports whether the set holds a mechanism.
func (s Set) Has(m Set) bool { return s&m != 0 }

// String lists the names of the set, separated by commas.
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
