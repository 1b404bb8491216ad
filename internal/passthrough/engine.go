package passthrough

import (
	"topazmoor/internal/mechanism"
	"topazmoor/internal/promptcache"
	"topazmoor/internal/targets"
)

// affinity is the hash of the prompt up to the last part that other requests share, and
// its length. The last part of all belongs to the request itself.
func (p *Prompt) affinity() (hash uint64, shared int) {
	if p == nil || len(p.Parts) == 0 {
		return 0, 0
	}
	prefix := promptcache.Prefixes(p.Model, p.Parts)[max(len(p.Parts)-2, 0)]
	return prefix.Hash, prefix.Tokens
}

// mostInputs returns the data centre where most of the inputs of a stage lie, and
// how many bytes lie there.
func (c *call) mostInputs(in *inputs, stage int) (dataCentre string, bytes int64) {
	byPlace := make(map[string]int64)
	for _, dep := range c.route.Stages[stage].After {
		c.addPlaces(byPlace, in, dep)
	}
	for dc, n := range byPlace {
		if n > bytes || (n == bytes && dc < dataCentre) {
			dataCentre, bytes = dc, n
		}
	}
	return dataCentre, bytes
}

// addPlaces adds the bytes of a stage's results by the data centre where they lie.
func (c *call) addPlaces(byPlace map[string]int64, in *inputs, stage int) {
	for _, h := range in.get(stage).Handles {
		byPlace[c.s.cfg.Targets.DataCentreOf(c.s.cfg.Wire.Maker(h))] += c.route.Stages[stage].ResultBytes
	}
}

// engineQuery describes the choice of an engine that reads the given inputs.
func (c *call) engineQuery(in *inputs) *targets.EngineQuery {
	q := &targets.EngineQuery{}
	if p := c.meta.Prompt; p != nil {
		q.Prompt = promptcache.Prefixes(p.Model, p.Parts)
	}
	q.Affinity, q.Shared = c.meta.Prompt.affinity()
	if c.meta.Prompt != nil {
		q.Tokens = c.meta.Prompt.Tokens
	}
	q.Inputs = make(map[string]int64)
	for i := range in.results {
		c.addPlaces(q.Inputs, in, i)
	}
	return q
}

const (
	// bigResult is the size from which it matters where a result lies, in bytes.
	bigResult = 500 << 10
	// keptPrompt is the length of shared parts, in tokens, from which a prompt
	// rather goes to its own engine than to its inputs.
	keptPrompt = 1000
)

// makerDataCentre is where the results of a stage should be made; "" for
// anywhere. A stage that reads much should work near what it reads: each of its
// pieces fetches all inputs. Big results of requests whose prompt has an engine of
// its own should lie near that engine; the other requests go to an engine near
// their results.
func (c *call) makerDataCentre(in *inputs, stage int) string {
	if c.s.cfg.Off.Has(mechanism.MakerPlace) {
		return ""
	}
	if dc, bytes := c.mostInputs(in, stage); bytes*int64(c.pieces(stage)) >= bigResult {
		return dc
	}
	hash, shared := c.meta.Prompt.affinity()
	if c.route.Stages[stage].ResultBytes < bigResult || shared < keptPrompt {
		return ""
	}
	return c.s.cfg.Targets.Home(c.service, hash, shared, c.regions())
}
