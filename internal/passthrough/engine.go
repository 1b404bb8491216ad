package passthrough

import (
	"topazmoor/internal/mechanism"
	"topazmoor/internal/promptcache"
	"topazmoor/internal/targets"
)

// affinity returns the hash of the prompt up to the last part that other requests share, and
// its length in tokens. The final part of the prompt belongs to the request itself.
func (p *Prompt) affinity() (hash uint64, shared int) {
	if p == nil || len(p.Parts) == 0 {
		return 0, 0
	}
	prefix := promptcache.Prefixes(p.Model, p.Parts)[max(len(p.Parts)-2, 0)]
	return prefix.Hash, prefix.Tokens
}

// inputsDataCentre returns the data centre that holds most of the inputs of a stage, by bytes,
// and how many bytes it holds.
func (c *call) inputsDataCentre(in *inputs, stage int) (dataCentre string, bytes int64) {
	byDataCentre := make(map[string]int64)
	for _, dep := range c.route.Stages[stage].After {
		c.addResultBytes(byDataCentre, in, dep)
	}
	for dc, n := range byDataCentre {
		if n > bytes || (n == bytes && dc < dataCentre) {
			dataCentre, bytes = dc, n
		}
	}
	return dataCentre, bytes
}

// addResultBytes adds the bytes of a stage's results to the sum of the data centre that holds
// them.
func (c *call) addResultBytes(byDataCentre map[string]int64, in *inputs, stage int) {
	for _, h := range in.get(stage).Handles {
		byDataCentre[c.s.cfg.Targets.DataCentreOf(c.s.cfg.Wire.HolderAddr(h))] += c.route.Stages[stage].ResultBytes
	}
}

// engineQuery describes the selection of an engine that reads the given inputs.
func (c *call) engineQuery(in *inputs) *targets.EngineQuery {
	q := &targets.EngineQuery{}
	if p := c.meta.Prompt; p != nil {
		q.Prompt = promptcache.Prefixes(p.Model, p.Parts)
	}
	q.Affinity, q.Shared = c.meta.Prompt.affinity()
	if c.meta.Prompt != nil {
		q.Tokens = c.meta.Prompt.Tokens
	}
	q.InputBytes = make(map[string]int64)
	for i := range in.results {
		c.addResultBytes(q.InputBytes, in, i)
	}
	return q
}

// headBytes is the assumed size of the heads of a request to a target and of its answer together, in
// bytes.
const headBytes = 1 << 10

// exchange returns what the request exchanges with its target. Each of its stages takes a round trip
// between the node and the region in which its results are read.
func (c *call) exchange() targets.Exchange {
	e := targets.Exchange{RoundTrips: 1, Bytes: int64(c.bodyLen()) + headBytes}
	if c.hasStages() {
		e.RoundTrips += len(c.route.Stages)
	}
	return e
}

const (
	// largeResultBytes is the size of a result from which the data centre that holds it matters.
	largeResultBytes = 500 << 10
	// minAffinityTokens is the length of the shared parts of a prompt from which its cached prefix
	// at an engine outweighs the location of the inputs.
	minAffinityTokens = 1000
)

// producerDataCentre returns the data centre in which the results of a stage should be
// produced; "" for any. A stage with large inputs runs near them, as each of its pieces
// fetches all inputs. Large results of requests whose prompt is cached at a certain engine are
// produced near that engine; other requests go to an engine near their results.
func (c *call) producerDataCentre(in *inputs, stage int) string {
	if c.s.cfg.Off.Has(mechanism.MakerPlace) {
		return ""
	}
	if dc, bytes := c.inputsDataCentre(in, stage); bytes*int64(c.pieces(stage)) >= largeResultBytes {
		return dc
	}
	hash, shared := c.meta.Prompt.affinity()
	if c.route.Stages[stage].ResultBytes < largeResultBytes || shared < minAffinityTokens {
		return ""
	}
	return c.s.cfg.Targets.PreferredDataCentre(c.service, hash, shared, c.exchange(), c.regions())
}

// expectedDataCentre returns the data centre that producerDataCentre will prefer for a stage, if it is
// known before any stage has run; else "". It is determined once for a request, and only in a fleet of
// several regions: there it decides which region's waits count in the estimate.
func (c *call) expectedDataCentre(stage int) string {
	if !c.s.cfg.Targets.Regions.Several() || len(c.route.Stages[stage].After) > 0 {
		return ""
	}
	c.stageDataCentresOnce.Do(func() {
		c.stageDataCentres = make([]string, len(c.route.Stages))
		for i, st := range c.route.Stages {
			if len(st.After) == 0 && st.ResultBytes >= largeResultBytes {
				c.stageDataCentres[i] = c.producerDataCentre(nil, i)
			}
		}
	})
	return c.stageDataCentres[stage]
}
