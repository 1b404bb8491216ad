package catalog

import (
	"encoding/json"
	"fmt"
	"maps"

	"topazmoor/internal/settings"
	"topazmoor/internal/strictjson"
)

// defaultAttempts is the value of Stage.Attempts if a template does not set it.
const defaultAttempts = 3

// Apply returns the configuration with the items applied, at the given revision.
// The receiver is not modified. The error is a strictjson.Problems; the whole
// change is rejected if one item is faulty.
//
// The cost grows with the number of accounts (the index is copied) but only
// the accounts that the items affect are compiled.
func (c *Compiled) Apply(revision int64, items []Item) (*Compiled, error) {
	next := &Compiled{
		Revision:  revision,
		templates: maps.Clone(c.templates),
		accounts:  maps.Clone(c.accounts),
		tokens:    maps.Clone(c.tokens),
		drains:    maps.Clone(c.drains),
		dcDrains:  maps.Clone(c.dcDrains),
		stops:     maps.Clone(c.stops),
		rollouts:  maps.Clone(c.rollouts),
		plans:     maps.Clone(c.plans),
		pools:     c.pools,
	}
	var probs strictjson.Problems
	changed := next.applyTemplates(items, &probs)
	affected := next.applyAccounts(items, &probs)
	applyObjects(next.drains, DrainItem, items, &probs)
	applyObjects(next.dcDrains, DataCentreDrainItem, items, &probs)
	applyObjects(next.stops, StopItem, items, &probs)
	applyObjects(next.rollouts, RolloutItem, items, &probs)
	next.checkRollouts(items, &probs)
	if len(changed) > 0 {
		next.plans = make(map[string]*Plan)
		next.addTemplateUsers(changed, affected)
	}
	for name := range affected {
		next.compileAccount(name, &probs)
	}
	if err := probs.Err(); err != nil {
		return nil, err
	}
	return next, nil
}

// applyTemplates applies the items that are templates and returns their names.
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
			addProblems(probs, it.Key(), err)
			continue
		}
		checkName(probs, it, t.Name)
		checkParameters(probs, it.Key(), t)
		c.templates[it.Name] = &t
	}
	return changed
}

// applyAccounts applies the items that are accounts and returns the names of the
// accounts that must be compiled.
func (c *Compiled) applyAccounts(items []Item, probs *strictjson.Problems) map[string]bool {
	affected := make(map[string]bool)
	for _, it := range items {
		if it.Kind != AccountItem {
			continue
		}
		c.removeAccount(it.Name)
		if it.Value == nil {
			delete(affected, it.Name)
			continue
		}
		var a Account
		if err := strictjson.Decode(it.Value, &a); err != nil {
			addProblems(probs, it.Key(), err)
			continue
		}
		checkName(probs, it, a.Name)
		c.accounts[it.Name] = &CompiledAccount{
			Name: it.Name, RatePerSecond: a.RatePerSecond, Concurrent: a.Concurrent, source: it.Value,
		}
		affected[it.Name] = true
	}
	return affected
}

// checkName adds a problem if the name of an object differs from that of its
// item or is empty.
func checkName(probs *strictjson.Problems, it Item, name string) {
	if name != it.Name || name == "" {
		probs.Add(it.Key()+".name", "is %q: write %q", name, it.Name)
	}
}

// applyObjects applies the items of one kind of object that needs no compilation.
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
			addProblems(probs, it.Key(), err)
			continue
		}
		objects[it.Name] = v
	}
}

// removeAccount removes an account and its tokens.
func (c *Compiled) removeAccount(name string) {
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

// addTemplateUsers adds the accounts that use a changed template to affected.
func (c *Compiled) addTemplateUsers(changed, affected map[string]bool) {
	for name, a := range c.accounts {
		for _, p := range a.plans {
			if changed[p.plan.Template] {
				affected[name] = true
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
	bound := regionSet(probs, path+".regions", acct.Regions)
	for i, b := range acct.Pipelines {
		at := fmt.Sprintf("%s.pipelines[%d]", path, i)
		if a.Plan(b.Name) != nil {
			probs.Add(at+".name", "%q stands twice: give each pipeline a name of its own", b.Name)
			continue
		}
		if p := c.plan(at, b, probs); p != nil {
			a.plans = append(a.plans, namedPlan{name: b.Name, plan: p, regions: commonRegions(probs, at, bound, p)})
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

// plan returns the compiled plan of a binding, or nil if it has a problem.
// Bindings with the same template and parameters share one plan.
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
		addProblems(probs, "template/"+t.Name+".pipeline", err)
		return nil
	}
	c.checkPipeline(probs, "template/"+t.Name+".pipeline", p)
	if len(*probs) > before {
		return nil
	}
	plan := &Plan{Template: t.Name, Class: p.Class, Deadline: p.Deadline.Std(), Idempotent: p.Idempotent}
	plan.Regions = regionSet(probs, "template/"+t.Name+".pipeline.regions", p.Regions)
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

// addProblems adds the problems of err below path; an err that is not a
// strictjson.Problems is added as one problem.
func addProblems(probs *strictjson.Problems, path string, err error) {
	list, ok := err.(strictjson.Problems)
	if !ok {
		probs.Add(path, "%v", err)
		return
	}
	for _, p := range list {
		probs.Add(path+"."+p.Path, "%s", p.Reason)
	}
}
