package targets

import (
	"slices"
	"time"

	"topazmoor/internal/mechanism"
	"topazmoor/internal/readiness"
	"topazmoor/internal/region"
	"topazmoor/internal/routing"
)

// tokenTime is the time that an engine takes to read a token of a prompt. The cost of a call to an
// engine is measured in tokens that it would have to read.
const tokenTime = 30 * time.Microsecond

const (
	// callTokens is the cost of each call that an engine has more than the least loaded one:
	// it slows all tokens there, and its prompt may be read first.
	callTokens = 300
	// pendingShare is the fraction that counts as cost of the tokens of this node's prompts
	// that an engine has not read yet; the engine finds some of them in its cache.
	pendingShare = 0.5
	// bytesPerToken is how many bytes of stage results cost as much to fetch from another
	// data centre as one token costs to read. Users value 1 GB at 280,000 tokens that are
	// read again.
	bytesPerToken = 3500
	// secondMissingShare is the fraction of the shared tokens that the second engine in the
	// rendezvous order of a prompt is presumed to lack: it serves the calls that the first
	// one cannot take.
	secondMissingShare = 0.7
	// regionMissingShare is the fraction of the shared tokens that the first engine of a region in
	// the rendezvous order is presumed to lack if each region prefers an engine of its own: other
	// requests with the same parts have come to each region.
	regionMissingShare = 0.5
	// failureTokens is the cost added for an engine whose recent calls all failed: a whole
	// prompt, and the time until the failure is detected. It is scaled by the share of failed
	// calls.
	failureTokens = 30000
)

// promptHolder is an engine that presumably has the beginning of a prompt in its cache.
type promptHolder struct {
	*state
	// tokens is the length of the cached beginning.
	tokens int
}

// promptHolders returns the listed, healthy engines that have read the beginning of a prompt for
// this node, those that read most of it first. Draining engines are included: they serve
// copies, but get no requests. Engines in a drained data centre, resting ones and those that
// advertise a rate limit serve neither, and are left out.
func (t *Table) promptHolders(q Query, now time.Time) []promptHolder {
	var out []promptHolder
	for _, k := range t.prompts.Match(q.Engine.Prompt) {
		if s := t.byProcess[k.Engine]; s != nil && t.Regions.Allows(q.Regions, s.DataCentre) && !s.moved && !s.drained && s.dropAt.IsZero() && s.ready.Status(now) != readiness.Resting && !s.reported.limit.limited() && !s.breaker.Down(now) {
			out = append(out, promptHolder{s, k.Tokens})
		}
	}
	return out
}

// presumedHolders returns the engines that presumably have a shared prefix of a prompt in their
// cache, the longest prefix first: all nodes prefer the same engine for a prefix. Load decides
// too where a request goes, so this serves only to find a source for a copy, not to choose
// the engine of the request.
func presumedHolders(q *EngineQuery, cands []*state) []promptHolder {
	var out []promptHolder
	for _, p := range slices.Backward(q.Prompt) {
		if first, _ := preferred(p.Hash, cands); p.Tokens <= q.Shared && !first.reported.limit.limited() {
			out = append(out, promptHolder{first, p.Tokens})
		}
	}
	return out
}

// cachedTokens returns how many tokens of a prompt an engine presumably has in its cache, by the
// calls that this node made.
func (s *state) cachedTokens(holders []promptHolder) int {
	for _, k := range holders {
		if k.state == s {
			return k.tokens
		}
	}
	return 0
}

// copyFrom returns the address of the engine from which s should copy the beginning of a
// prompt: one that caches most of it, in the data centre of s if there is one there; "" if
// none caches more than s. An engine in another region is chosen only if it saves s more reading
// time, compared with the best copy within its own region, than the crossing costs.
func (t *Table) copyFrom(s *state, holders []promptHolder) string {
	several := t.Regions.Several()
	far := func(k promptHolder) bool { return several && t.regionOf(k.state) != t.regionOf(s) }
	have := s.cachedTokens(holders)
	addr, tokens := fullestHolder(s, holders, have, func(k promptHolder) bool { return !far(k) })
	if !several {
		return addr
	}
	farAddr, farTokens := fullestHolder(s, holders, have, far)
	if time.Duration(farTokens-max(tokens, have))*tokenTime > t.crossingCost(Exchange{}) {
		return farAddr
	}
	return addr
}

// fullestHolder returns the address of the holder that caches most of a prompt, of those that may be
// used and cache more than some tokens, and how many tokens it caches; one in the data centre of s if
// there are several. It returns "" and 0 for none.
func fullestHolder(s *state, holders []promptHolder, have int, use func(promptHolder) bool) (addr string, tokens int) {
	for _, k := range holders {
		if k.tokens <= have || k.tokens < tokens {
			break
		}
		// What two versions of the software write does not fit together.
		if !use(k) || k.Version != s.Version {
			continue
		}
		if k.DataCentre == s.DataCentre {
			return k.Addr, k.tokens
		}
		if addr == "" {
			addr, tokens = k.Addr, k.tokens
		}
	}
	return addr, tokens
}

// copySource returns the address of the engine from whose prompt cache s should copy the beginning
// of a prompt: an engine that read it for this node, else one that presumably has it, as all nodes
// prefer the same engine for a prefix; "" if there is none, or s has all that requests share.
func (t *Table) copySource(s *state, q Query, holders []promptHolder, cands []*state) string {
	if addr := t.copyFrom(s, holders); addr != "" || s.cachedTokens(holders) >= q.Engine.Shared {
		return addr
	}
	same := slices.DeleteFunc(slices.Clone(cands), func(other *state) bool { return other.Version != s.Version })
	return t.copyFrom(s, presumedHolders(q.Engine, t.affinityCandidates(q.Engine.Shared, q.Exchange, same)))
}

// bestEngine returns the candidate of least cost; rendezvous hashing decides between equal
// ones. off are the mechanisms that an experiment switches off.
func (t *Table) bestEngine(query Query, cands []*state, now time.Time, off mechanism.Set) *state {
	q := query.Engine
	crossing := inTokens(t.crossingCost(query.Exchange))
	first, second := preferred(q.Affinity, t.affinityCandidates(q.Shared, query.Exchange, cands))
	least := cands[0].calls(now)
	for _, s := range cands {
		least = min(least, s.calls(now))
	}
	faults := leastFaults(cands, now)
	var best *state
	var bestCost float64
	for _, s := range cands {
		c := float64(callTokens*(s.calls(now)-least)) + pendingShare*float64(s.pending) + (s.failures+s.excessFaults(faults, now))*failureTokens
		if !off.Has(mechanism.NearInputs) {
			c += float64(remoteBytes(q.InputBytes, s.DataCentre)) / bytesPerToken
		}
		if t.inOtherRegion(s) {
			c += crossing
		}
		switch {
		case q.Affinity == 0 || s == first || off.Has(mechanism.PromptAffinity):
		case s == second:
			c += secondMissingShare * float64(q.Shared)
		default:
			c += float64(q.Shared)
		}
		if best == nil || c < bestCost || (c == bestCost && routing.Mix(q.Affinity, s.hash) > routing.Mix(q.Affinity, best.hash)) {
			best, bestCost = s, c
		}
	}
	return best
}

// inOtherRegion reports whether a target is in another region than this node.
func (t *Table) inOtherRegion(s *state) bool { return t.regionOf(s) != t.Regions[t.DataCentre] }

func (t *Table) regionOf(s *state) string { return t.Regions[s.DataCentre] }

// inTokens returns a time as the number of tokens that an engine reads in it.
func inTokens(d time.Duration) float64 { return float64(d) / float64(tokenTime) }

// affinityCandidates returns the candidates among which prompt affinity chooses an engine for a
// prompt with that many shared tokens: all of them if reading shared tokens again in this region
// costs more than a call to another region, else those in this node's region, if there is one.
func (t *Table) affinityCandidates(shared int, e Exchange, cands []*state) []*state {
	if regionMissingShare*float64(shared) > inTokens(t.crossingCost(e)) {
		return cands
	}
	if near := t.inRegion(t.Regions[t.DataCentre], cands); len(near) > 0 {
		return near
	}
	return cands
}

// inRegion returns the candidates in a region.
func (t *Table) inRegion(region string, cands []*state) []*state {
	outside := func(s *state) bool { return t.regionOf(s) != region }
	if !slices.ContainsFunc(cands, outside) {
		return cands
	}
	return slices.DeleteFunc(slices.Clone(cands), outside)
}

// remoteBytes returns how many bytes of the inputs are stored outside a data centre.
func remoteBytes(inputs map[string]int64, dataCentre string) int64 {
	var sum int64
	for dc, bytes := range inputs {
		if dc != dataCentre {
			sum += bytes
		}
	}
	return sum
}

// preferred returns the first two candidates in the order of rendezvous hashing. All nodes
// compute the same order, so that a part of a prompt is read by few engines.
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

// PreferredDataCentre returns the data centre of the engine that prompt affinity prefers for a
// prompt, among those in some regions, for a request with the given exchange; "" if there is none.
func (t *Table) PreferredDataCentre(service string, affinity uint64, shared int, e Exchange, in region.Set) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	cands, _ := t.candidates(Query{Service: service, Regions: in, Exchange: e}, t.now())
	if affinity == 0 || len(cands) == 0 {
		return ""
	}
	first, _ := preferred(affinity, t.affinityCandidates(shared, e, cands))
	return first.DataCentre
}
