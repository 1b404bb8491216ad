package catalog

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"maps"
	"strings"
	"time"

	"topazmoor/internal/region"
	"topazmoor/internal/settings"
	"topazmoor/internal/strictjson"
)

// Plan is the compiled, immutable pipeline of one binding.
type Plan struct {
	Template   string
	Class      Class
	Deadline   time.Duration
	Idempotent bool
	// Regions are those that the pipeline allows.
	Regions region.Set
	Stages  []PlanStage
}

// PlanStage is a stage with its pool resolved.
type PlanStage struct {
	Stage
	Kind settings.PoolKind
}

// CompiledAccount is an account with its plans. It stores the account as JSON
// rather than decoded, to save memory: a node holds tens of thousands of them.
type CompiledAccount struct {
	Name          string
	RatePerSecond float64
	Concurrent    int

	plans []namedPlan
	// source is the account as JSON, as submitted.
	source []byte
}

// namedPlan is a plan with the pipeline name that the account gives it.
type namedPlan struct {
	name string
	plan *Plan
	// regions are those that both the account and the plan allow; nil stands for all.
	regions *region.Set
}

// Plan returns the plan of the pipeline with this name, or nil.
func (a *CompiledAccount) Plan(pipeline string) *Plan {
	for _, p := range a.plans {
		if p.name == pipeline {
			return p.plan
		}
	}
	return nil
}

// decode returns the account as it was submitted.
func (a *CompiledAccount) decode() Account {
	var acct Account
	// No error: applyAccounts has decoded the source before storing it.
	_ = strictjson.Decode(a.source, &acct)
	return acct
}

// tokenHash is the SHA-256 hash of a token.
type tokenHash [sha256.Size]byte

func parseTokenHash(s string) (h tokenHash, ok bool) {
	b, err := hex.DecodeString(s)
	if err != nil || len(b) != len(h) || strings.ToLower(s) != s {
		return h, false
	}
	return tokenHash(b), true
}

// Compiled is a whole validated and compiled configuration. It is immutable after
// Apply returns it.
type Compiled struct {
	Revision  int64
	templates map[string]*Template
	accounts  map[string]*CompiledAccount
	tokens    map[tokenHash]*CompiledAccount
	drains    map[string]Drain
	// dcDrains are the drains of data centres by name.
	dcDrains map[string]DataCentreDrain
	stops    map[string]Stop
	// rollouts are the orders of roll-outs by pool.
	rollouts map[string]Rollout
	pools    map[string]settings.Pool
	// plans is the cache of compiled plans, by template name and parameter values.
	plans map[string]*Plan
}

// New returns an empty configuration over the given pools.
func New(pools []settings.Pool) *Compiled {
	byName := make(map[string]settings.Pool)
	for _, p := range pools {
		byName[p.Name] = p
	}
	return &Compiled{
		templates: make(map[string]*Template),
		accounts:  make(map[string]*CompiledAccount),
		tokens:    make(map[tokenHash]*CompiledAccount),
		drains:    make(map[string]Drain),
		dcDrains:  make(map[string]DataCentreDrain),
		stops:     make(map[string]Stop),
		rollouts:  make(map[string]Rollout),
		plans:     make(map[string]*Plan),
		pools:     byName,
	}
}

// Account returns the account with this name, or nil.
func (c *Compiled) Account(name string) *CompiledAccount { return c.accounts[name] }

// ByToken returns the account of a token, or nil.
func (c *Compiled) ByToken(token string) *CompiledAccount {
	return c.tokens[sha256.Sum256([]byte(token))]
}

// Template returns the template with this name, or nil.
func (c *Compiled) Template(name string) *Template { return c.templates[name] }

// Accounts returns the number of accounts.
func (c *Compiled) Accounts() int { return len(c.accounts) }

// Drained reports whether a drain order for the host exists.
func (c *Compiled) Drained(host string) bool {
	_, ok := c.drains[host]
	return ok
}

// DataCentreDrained reports whether a drain order for the data centre exists.
func (c *Compiled) DataCentreDrained(name string) bool {
	_, ok := c.dcDrains[name]
	return ok
}

// DataCentreDrains returns all drain orders of data centres by name.
func (c *Compiled) DataCentreDrains() map[string]DataCentreDrain { return maps.Clone(c.dcDrains) }

// Drains returns all drain orders by host.
func (c *Compiled) Drains() map[string]Drain { return maps.Clone(c.drains) }

// Stops returns all scheduled stops by node.
func (c *Compiled) Stops() map[string]Stop { return maps.Clone(c.stops) }

// Stop returns the scheduled stop of a node.
func (c *Compiled) Stop(node string) (Stop, bool) {
	s, ok := c.stops[node]
	return s, ok
}

// Object returns the current object of kind and name as JSON, or nil.
func (c *Compiled) Object(kind Kind, name string) json.RawMessage {
	var v any
	switch kind {
	case TemplateItem:
		if t := c.templates[name]; t != nil {
			v = t
		}
	case AccountItem:
		if a := c.accounts[name]; a != nil {
			return a.source
		}
	case DrainItem:
		if d, ok := c.drains[name]; ok {
			v = d
		}
	case DataCentreDrainItem:
		if d, ok := c.dcDrains[name]; ok {
			v = d
		}
	case StopItem:
		if st, ok := c.stops[name]; ok {
			v = st
		}
	case RolloutItem:
		if r, ok := c.rollouts[name]; ok {
			v = r
		}
	}
	if v == nil {
		return nil
	}
	b, err := json.Marshal(v)
	if err != nil {
		return nil
	}
	return b
}

// PlanInRegions is a plan with the regions in which its requests may be served.
type PlanInRegions struct {
	*Plan
	Regions region.Set
}

// AffectedPlans returns the plans in c that the items affect: those of changed accounts
// and those of changed templates. A plan may occur more than once. Those of a template have
// the regions that the template allows.
func (c *Compiled) AffectedPlans(items []Item) []PlanInRegions {
	var out []PlanInRegions
	for _, it := range items {
		if it.Kind == AccountItem && c.accounts[it.Name] != nil {
			for _, p := range c.accounts[it.Name].plans {
				out = append(out, PlanInRegions{p.plan, p.allowed()})
			}
		}
		for _, p := range c.plans {
			if it.Kind == TemplateItem && p.Template == it.Name {
				out = append(out, PlanInRegions{p, p.Regions})
			}
		}
	}
	return out
}

// Items returns the whole configuration as items, for a peer that starts while
// the table service is unavailable.
func (c *Compiled) Items() []Item {
	var items []Item
	for name := range c.templates {
		items = append(items, Item{Kind: TemplateItem, Name: name, Value: c.Object(TemplateItem, name)})
	}
	for name := range c.accounts {
		items = append(items, Item{Kind: AccountItem, Name: name, Value: c.Object(AccountItem, name)})
	}
	for name := range c.drains {
		items = append(items, Item{Kind: DrainItem, Name: name, Value: c.Object(DrainItem, name)})
	}
	for name := range c.dcDrains {
		items = append(items, Item{Kind: DataCentreDrainItem, Name: name, Value: c.Object(DataCentreDrainItem, name)})
	}
	for name := range c.stops {
		items = append(items, Item{Kind: StopItem, Name: name, Value: c.Object(StopItem, name)})
	}
	for name := range c.rollouts {
		items = append(items, Item{Kind: RolloutItem, Name: name, Value: c.Object(RolloutItem, name)})
	}
	return items
}
