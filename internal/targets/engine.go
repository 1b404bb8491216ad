package targets

import (
	"slices"
	"time"

	"topazmoor/internal/mechanism"
	"topazmoor/internal/readiness"
	"topazmoor/internal/region"
	"topazmoor/internal/routing"
)

// The cost of an engine is counted in tokens that it would have to read: a
// token takes about 0.03 ms of its time.
const (
	// callTokens is what each call at an engine above the least loaded one
	// counts: it slows all tokens there, and its prompt may be read first.
	callTokens = 300
	// pendingShare is the part of the tokens of this node's prompts that wait at
	// an engine which counts; some of them are found in its memory.
	pendingShare = 0.5
	// bytesPerToken is how many bytes of stage results cost as much to fetch from
	// another data centre as a token costs to read. Users price 1 GB as much as
	// 280,000 tokens that are read again.
	bytesPerToken = 3500
	// secondShare is the part of the shared tokens that the second engine in the
	// order of a prompt is presumed to lack: it serves what the first cannot.
	secondShare = 0.7
	// regionTokens is what an engine in another region counts more: the messages of a request
	// cross regions with their delay, and links between them are dear.
	regionTokens = 600
	// failureTokens is what an engine counts more that lately failed every call:
	// a whole prompt, and the time until the failure is seen.
	failureTokens = 30000
)

// keeper is an engine that presumably keeps the beginning of a prompt.
type keeper struct {
	*state
	// tokens is the length of what it keeps.
	tokens int
}

// keepers returns the listed engines in good health that this node saw read the beginning
// of a prompt, those that read most of it first. Draining ones are among them: they hand
// out copies, but get no requests. Those of a drained data centre, those at rest, and those that name a
// limit, do neither.
func (t *Table) keepers(q Query, now time.Time) []keeper {
	var out []keeper
	for _, k := range t.prompts.Kept(q.Engine.Prompt) {
		if s := t.byProcess[k.Engine]; s != nil && t.Regions.Allows(q.Regions, s.DataCentre) && !s.moved && !s.drained && s.vanishes.IsZero() && s.ready.Standing(now) != readiness.Resting && !s.said.limit.limited() && !s.breaker.Down(now) {
			out = append(out, keeper{s, k.Tokens})
		}
	}
	return out
}

// presumed returns the engines that presumably keep a prefix that requests share, the
// longest prefix first: all nodes have the same first engine for it. Requests go there by
// load too, so that the choice of an engine does not rest on this, only a copy.
func presumed(q *EngineQuery, cands []*state) []keeper {
	var out []keeper
	for _, p := range slices.Backward(q.Prompt) {
		if first, _ := preferred(p.Hash, cands); p.Tokens <= q.Shared && !first.said.limit.limited() {
			out = append(out, keeper{first, p.Tokens})
		}
	}
	return out
}

// kept returns how many tokens of a prompt an engine presumably keeps, by what this node
// saw.
func (s *state) kept(keepers []keeper) int {
	for _, k := range keepers {
		if k.state == s {
			return k.tokens
		}
	}
	return 0
}

// copyFrom returns the address of the engine from which s should copy the beginning of a
// prompt: of those that keep most of it one in its own data centre, if there is one; ""
// when none keeps more than s.
func copyFrom(s *state, keepers []keeper) string {
	own := s.kept(keepers)
	addr := ""
	for _, k := range keepers {
		if k.tokens <= own || k.tokens < keepers[0].tokens {
			break
		}
		if k.DataCentre == s.DataCentre {
			return k.Addr
		}
		if addr == "" {
			addr = k.Addr
		}
	}
	return addr
}

// source returns the address of the engine from which s should copy the beginning of a
// prompt; "" for none.
func source(s *state, q *EngineQuery, keepers []keeper, cands []*state) string {
	if addr := copyFrom(s, keepers); addr != "" || s.kept(keepers) >= q.Shared {
		return addr
	}
	return copyFrom(s, presumed(q, cands))
}

// bestEngine returns the candidate of least cost. off are the mechanisms that an experiment
// switches off.
func (t *Table) bestEngine(q *EngineQuery, cands []*state, now time.Time, off mechanism.Set) *state {
	first, second := preferred(q.Affinity, t.homes(q.Shared, cands))
	least := cands[0].calls(now)
	for _, s := range cands {
		least = min(least, s.calls(now))
	}
	var best *state
	var bestCost float64
	for _, s := range cands {
		c := float64(callTokens*(s.calls(now)-least)) + pendingShare*float64(s.pending) + s.failures*failureTokens
		if !off.Has(mechanism.NearInputs) {
			c += float64(remoteBytes(q.Inputs, s.DataCentre)) / bytesPerToken
		}
		if t.far(s) {
			c += regionTokens
		}
		switch {
		case q.Affinity == 0 || s == first || off.Has(mechanism.PromptAffinity):
		case s == second:
			c += secondShare * float64(q.Shared)
		default:
			c += float64(q.Shared)
		}
		if best == nil || c < bestCost || (c == bestCost && routing.Mix(q.Affinity, s.hash) > routing.Mix(q.Affinity, best.hash)) {
			best, bestCost = s, c
		}
	}
	return best
}

// far reports whether a target stands in another region than this node.
func (t *Table) far(s *state) bool { return t.regionOf(s) != t.Regions[t.DataCentre] }

func (t *Table) regionOf(s *state) string { return t.Regions[s.DataCentre] }

// homes returns the candidates of which one keeps a prompt with so many shared tokens: all of them
// where reading it once in each region costs more than to go there, else those in this node's
// region, if there is one.
func (t *Table) homes(shared int, cands []*state) []*state {
	if shared >= regionTokens {
		return cands
	}
	if near := t.within(t.Regions[t.DataCentre], cands); len(near) > 0 {
		return near
	}
	return cands
}

// within returns the candidates in a region.
func (t *Table) within(region string, cands []*state) []*state {
	outside := func(s *state) bool { return t.regionOf(s) != region }
	if !slices.ContainsFunc(cands, outside) {
		return cands
	}
	return slices.DeleteFunc(slices.Clone(cands), outside)
}

// remoteBytes returns how much lies outside of a data centre.
func remoteBytes(inputs map[string]int64, dataCentre string) int64 {
	var sum int64
	for dc, bytes := range inputs {
		if dc != dataCentre {
			sum += bytes
		}
	}
	return sum
}

// preferred returns the first two candidates in the order of rendezvous
// hashing. All nodes have the same order, so that a part of a prompt is read at
// few engines.
func preferred(affinity uint64, cands []*state) (first, second *state) {
	for _, s := range cands {
		h := routing.Mix(affinity, s.hash)
		switch {
		case first == nil || h > routing.Mix(affinity, first.hash):
			first, second = s, first
		case second == nil || h > routing.Mix(affinity, second.hash):
			second = s
		}
	}
	return first, second
}

// Home returns the data centre of the engine in some regions that a prompt is kept at; "" when
// there is none.
func (t *Table) Home(service string, affinity uint64, shared int, in region.Set) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	cands := t.candidates(Query{Service: service, Regions: in}, t.now())
	if affinity == 0 || len(cands) == 0 {
		return ""
	}
	first, _ := preferred(affinity, t.homes(shared, cands))
	return first.DataCentre
}
