package passthrough

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"topazmoor/internal/targets"
)

// affinity is the hash of the last part of the prompt that other requests
// share, and the length of the parts up to it. The last part of all belongs to
// the request itself.
func (p *Prompt) affinity() (hash uint64, shared int) {
	if p == nil || len(p.Parts) == 0 {
		return 0, 0
	}
	last := max(len(p.Parts)-2, 0)
	for _, part := range p.Parts[:last+1] {
		shared += part.Tokens
	}
	return xxhash.Sum64(binary.LittleEndian.AppendUint64(nil, p.Parts[last].ID)), shared
}

// engineQuery describes the choice of an engine that reads the given inputs.
func (c *call) engineQuery(in *inputs) *targets.EngineQuery {
	q := &targets.EngineQuery{}
	q.Affinity, q.Shared = c.meta.Prompt.affinity()
	if c.meta.Prompt != nil {
		q.Tokens = c.meta.Prompt.Tokens
	}
	for i := range in.results {
		for _, h := range in.get(i).Handles {
			if q.Inputs == nil {
				q.Inputs = make(map[string]int64)
			}
			q.Inputs[c.s.cfg.Targets.DataCentreOf(c.s.cfg.Wire.Maker(h))] += c.route.Stages[i].ResultBytes
		}
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
// anywhere. Big results of requests whose prompt has an engine of its own should
// lie near that engine; the other requests go to an engine near their results.
func (c *call) makerDataCentre(stage int) string {
	hash, shared := c.meta.Prompt.affinity()
	if c.route.Stages[stage].ResultBytes < bigResult || shared < keptPrompt {
		return ""
	}
	return c.s.cfg.Targets.Home(c.service, hash)
}
