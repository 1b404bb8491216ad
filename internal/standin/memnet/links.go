package memnet

// LinkState is the state of the links from some hosts to others.
type LinkState int

// The states of links.
const (
	// Open: connections work.
	Open LinkState = iota
	// Reset: open connections are closed, and new ones are refused.
	Reset
	// Refusing: open connections work, and new ones are refused.
	Refusing
	// Silent: open connections become silent for good (see Blackhole), and dials get no answer.
	Silent
)

// links is a change of the links between some hosts; the zero links change nothing.
type links struct {
	changed LinkState
	match   func(from, to string) bool
}

func (l links) state(from, to string) LinkState {
	if l.match == nil || !l.match(from, to) {
		return Open
	}
	return l.changed
}

// SetLinks sets the state of the links from host from to host to if match(from, to) returns true, and
// opens all others. A nil match opens all.
func (n *Network) SetLinks(state LinkState, match func(from, to string) bool) {
	n.mu.Lock()
	n.links = links{changed: state, match: match}
	var broken []*endpoint
	for s := range n.conns {
		if n.links.state(s.from, s.to) == Reset {
			broken = append(broken, s)
		}
	}
	n.mu.Unlock()
	for _, s := range broken {
		s.Close()
	}
	if state == Silent && match != nil {
		n.silence(match)
	}
}
