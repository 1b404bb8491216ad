package catalog

import (
	"encoding/json"
	"fmt"
	"maps"

	"topazmoor/internal/settings"
	"topazmoor/internal/strictjson"
)

// defaultAttempts is Stage.Attempts when a template leaves it out.
const defaultAttempts = 3

// Apply returns the configuration after the items, at the given revision. The
// receiver stays as it was. The error is a strictjson.Problems; the whole
// change is rejected when one item is faulty.
//
// The cost grows with the number of accounts (the index is copied) but only
// the accounts that the items touch are compiled.
func (c *Compiled) Apply(revision int64, items []Item) (*Compiled, error) {
	next := &Compiled{
		Revision:    revision,
		templates:   maps.Clone(c.templates),
		accounts:    maps.Clone(c.accounts),
		tokens:      maps.Clone(c.tokens),
		drains:      maps.Clone(c.drains),
		dataCentres: maps.Clone(c.dataCentres),
		stops:       maps.Clone(c.stops),
		plans:       maps.Clone(c.plans),
		pools:       c.pools,
	}
	var probs strictjson.Problems
	changed := next.applyTemplates(items, &probs)
	touched := next.applyAccounts(items, &probs)
	applyObjects(next.drains, DrainItem, items, &probs)
	applyObjects(next.dataCentres, DataCentreDrainItem, items, &probs)
	applyObjects(next.stops, StopItem, items, &probs)
	if len(changed) > 0 {
		next.plans = make(map[string]*Plan)
		next.touchUsers(changed, touched)
	}
	for name := range touched {
		next.compileAccount(name, &probs)
	}
	if err := probs.Err(); err != nil {
		return nil, err
	}
	return next, nil
}

func (c *Compiled) applyTemplates(items []Item, probs *strictjson.Problems) map[string]bool {
	changed := make(map[string]bool)
	for _, it := range items {
		if it.Kind != TemplateItem {
			continue
		}
		changed[it.Name] = true
		delete(c.templates, it.Name)
		if it.Value == nil {
			continue
		}
		var t Template
		if err := strictjson.Decode(it.Value, &t); err != nil {
			addAll(probs, it.Key(), err)
			continue
		}
		checkName(probs, it, t.Name)
		checkParameters(probs, it.Key(), t)
		c.templates[it.Name] = &t
	}
	return changed
}

func (c *Compiled) applyAccounts(items []Item, probs *strictjson.Problems) map[string]bool {
	touched := make(map[string]bool)
	for _, it := range items {
		if it.Kind != AccountItem {
			continue
		}
		c.dropAccount(it.Name)
		if it.Value == nil {
			delete(touched, it.Name)
			continue
		}
		var a Account
		if err := strictjson.Decode(it.Value, &a); err != nil {
			addAll(probs, it.Key(), err)
			continue
		}
		checkName(probs, it, a.Name)
		c.accounts[it.Name] = &CompiledAccount{
			Name: it.Name, RatePerSecond: a.RatePerSecond, Concurrent: a.Concurrent, source: it.Value,
		}
		touched[it.Name] = true
	}
	return touched
}

// checkName demands that an object is stored under its own name.
func checkName(probs *strictjson.Problems, it Item, name string) {
	if name != it.Name || name == "" {
		probs.Add(it.Key()+".name", "is %q: write %q", name, it.Name)
	}
}

// applyObjects applies the items of one kind that need no compilation.
func applyObjects[T any](objects map[string]T, kind Kind, items []Item, probs *strictjson.Problems) {
	for _, it := range items {
		if it.Kind != kind {
			continue
		}
		delete(objects, it.Name)
		if it.Value == nil {
			continue
		}
		var v T
		if err := strictjson.Decode(it.Value, &v); err != nil {
			addAll(probs, it.Key(), err)
			continue
		}
		objects[it.Name] = v
	}
}

func (c *Compiled) dropAccount(name string) {
	old := c.accounts[name]
	if old == nil {
		return
	}
	delete(c.accounts, name)
	for _, s := range old.decode().TokensSHA256 {
		if h, ok := parseTokenHash(s); ok && c.tokens[h] == old {
			delete(c.tokens, h)
		}
	}
}

// touchUsers adds the accounts that use a changed template.
func (c *Compiled) touchUsers(changed, touched map[string]bool) {
	for name, a := range c.accounts {
		for _, p := range a.plans {
			if changed[p.plan.Template] {
				touched[name] = true
			}
		}
	}
}

func (c *Compiled) compileAccount(name string, probs *strictjson.Problems) {
	old := c.accounts[name]
	path := Item{Kind: AccountItem, Name: name}.Key()
	acct := old.decode()
	a := *old
	a.plans = make([]namedPlan, 0, len(acct.Pipelines))
	for i, b := range acct.Pipelines {
		at := fmt.Sprintf("%s.pipelines[%d]", path, i)
		if a.Plan(b.Name) != nil {
			probs.Add(at+".name", "%q stands twice: give each pipeline a name of its own", b.Name)
			continue
		}
		if p := c.plan(at, b, probs); p != nil {
			a.plans = append(a.plans, namedPlan{name: b.Name, plan: p})
		}
	}
	c.accounts[name] = &a
	c.indexTokens(path, &a, acct.TokensSHA256, probs)
}

func (c *Compiled) indexTokens(path string, a *CompiledAccount, hashes []string, probs *strictjson.Problems) {
	for i, s := range hashes {
		at := fmt.Sprintf("%s.tokens_sha256[%d]", path, i)
		h, ok := parseTokenHash(s)
		if !ok {
			probs.Add(at, "is not 64 lower-case hex digits: write the output of `topazmoor check --hash TOKEN`")
			continue
		}
		if other := c.tokens[h]; other != nil && other.Name != a.Name {
			probs.Add(at, "is the token of another account: make a new token")
			continue
		}
		c.tokens[h] = a
	}
}

// plan compiles a binding; equal bindings share one plan.
func (c *Compiled) plan(at string, b Binding, probs *strictjson.Problems) *Plan {
	key, err := json.Marshal(b.Parameters)
	if err != nil {
		probs.Add(at+".parameters", "cannot be encoded: %v", err)
		return nil
	}
	cacheKey := b.Template + "\x00" + string(key)
	if p := c.plans[cacheKey]; p != nil {
		return p
	}
	t := c.templates[b.Template]
	if t == nil {
		probs.Add(at+".template", "%q does not exist: submit the template first or in the same change", b.Template)
		return nil
	}
	p := c.compilePlan(at, t, b, probs)
	if p != nil {
		c.plans[cacheKey] = p
	}
	return p
}

func (c *Compiled) compilePlan(at string, t *Template, b Binding, probs *strictjson.Problems) *Plan {
	before := len(*probs)
	values := bindParameters(probs, at+".parameters", t, b.Parameters)
	tree := substitute(probs, at+".template", t.Pipeline, values)
	if len(*probs) > before {
		return nil
	}
	var p Pipeline
	if err := strictjson.DecodeTree(tree, &p); err != nil {
		addAll(probs, "template/"+t.Name+".pipeline", err)
		return nil
	}
	c.checkPipeline(probs, "template/"+t.Name+".pipeline", p)
	if len(*probs) > before {
		return nil
	}
	plan := &Plan{Template: t.Name, Class: p.Class, Deadline: p.Deadline.Std(), Idempotent: p.Idempotent}
	for _, s := range p.Stages {
		if s.Attempts == 0 {
			s.Attempts = defaultAttempts
		}
		plan.Stages = append(plan.Stages, PlanStage{Stage: s, Kind: c.pools[s.Pool].Kind})
	}
	return plan
}

func (c *Compiled) checkPipeline(probs *strictjson.Problems, path string, p Pipeline) {
	if p.Deadline <= 0 {
		probs.Add(path+".deadline", "is not above zero: write a duration such as \"9s\"")
	}
	if len(p.Stages) == 0 {
		probs.Add(path+".stages", "is empty: write at least one stage")
	}
	seen := make(map[string]bool)
	for i, s := range p.Stages {
		at := fmt.Sprintf("%s.stages[%d]", path, i)
		if seen[s.Name] {
			probs.Add(at+".name", "%q stands twice: give each stage a name of its own", s.Name)
		}
		seen[s.Name] = true
		pool, ok := c.pools[s.Pool]
		if !ok {
			probs.Add(at+".pool", "%q is not a pool of the settings", s.Pool)
		}
		if ok && pool.Kind == settings.Generate && s.MaxTokens <= 0 {
			probs.Add(at+".max_tokens", "is missing: write the most tokens that the stage may generate")
		}
		if s.Attempts < 0 {
			probs.Add(at+".attempts", "is below zero: write 1 for no retry")
		}
	}
}

func addAll(probs *strictjson.Problems, path string, err error) {
	list, ok := err.(strictjson.Problems)
	if !ok {
		probs.Add(path, "%v", err)
		return
	}
	for _, p := range list {
		probs.Add(path+"."+p.Path, "%s", p.Reason)
	}
}
