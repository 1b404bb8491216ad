package catalog

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"

	"topazmoor/internal/region"
	"topazmoor/internal/strictjson"
)

// regionSet returns the set of the named regions, or that of all regions if names is nil. It adds
// a problem for an empty list and for an empty name.
func regionSet(probs *strictjson.Problems, path string, names []string) region.Set {
	if names == nil {
		return region.Set{}
	}
	if len(names) == 0 {
		probs.Add(path, "is an empty list: name at least one region, or leave it out for all")
	}
	for i, name := range names {
		if name == "" {
			probs.Add(fmt.Sprintf("%s[%d]", path, i), "is empty: write the name of a region")
		}
	}
	return region.Only(names...)
}

// commonRegions returns the regions that both an account and a plan of it allow, nil for all. It adds
// a problem if there are none.
func commonRegions(probs *strictjson.Problems, path string, account region.Set, p *Plan) *region.Set {
	common := account.Intersect(p.Regions)
	if common.All() {
		return nil
	}
	if common.Empty() && !account.Empty() && !p.Regions.Empty() {
		probs.Add(path+".template", "%q allows only the regions %s and the account only %s: name one that is in both lists",
			p.Template, p.Regions, account)
	}
	return &common
}

// allowed returns the regions in which requests of the pipeline may be served.
func (p *namedPlan) allowed() region.Set {
	if p.regions == nil {
		return region.Set{}
	}
	return *p.regions
}

// RegionSets returns the distinct sets of regions to which requests are restricted. The set of all regions and
// the empty set are left out.
func (c *Compiled) RegionSets() []region.Set {
	var out []region.Set
	for _, a := range c.accounts {
		for i := range a.plans {
			out = region.AppendRestricted(out, a.plans[i].allowed())
		}
	}
	return out
}

// Regions returns the regions in which the account's requests of a pipeline may be served. The result
// is false if the account has no such pipeline.
func (a *CompiledAccount) Regions(pipeline string) (region.Set, bool) {
	for i := range a.plans {
		if a.plans[i].name == pipeline {
			return a.plans[i].allowed(), true
		}
	}
	return region.Set{}, false
}

// CheckRegions returns a problem for each region that the items name and that is not in known, the
// regions of the data centres. It is apart from Apply, so that a node whose settings lack a region
// still adopts a configuration that was accepted. If known is empty there is nothing to check by.
func (c *Compiled) CheckRegions(items []Item, known region.Map) strictjson.Problems {
	var probs strictjson.Problems
	if len(known) == 0 {
		return probs
	}
	for _, it := range items {
		if a := c.accounts[it.Name]; it.Kind == AccountItem && a != nil {
			addUnknownRegions(&probs, it.Key()+".regions", region.Only(a.decode().Regions...), known)
		}
	}
	for _, p := range c.AffectedPlans(items) {
		addUnknownRegions(&probs, "template/"+p.Template+".pipeline.regions", p.Plan.Regions, known)
	}
	return probs
}

// addUnknownRegions adds one problem if the set has regions that are not known, unless the path has a
// problem already: a template is checked once for each account that uses it.
func addUnknownRegions(probs *strictjson.Problems, path string, s region.Set, known region.Map) {
	missing := known.Missing(s)
	if len(missing) == 0 {
		return
	}
	var more strictjson.Problems
	more.Add(path, "names %s, which no data centre of the settings is in: write one of %s",
		strings.Join(missing, ", "), strings.Join(known.Names(), ", "))
	probs.Merge(more)
}

// RegionUse returns the number of accounts that have a pipeline bound to regions, by region.
func (c *Compiled) RegionUse() map[string]int {
	out := make(map[string]int)
	for _, a := range c.accounts {
		var names []string
		for i := range a.plans {
			names = append(names, a.plans[i].allowed().Names()...)
		}
		slices.Sort(names)
		for _, name := range slices.Compact(names) {
			out[name]++
		}
	}
	return out
}

// Regions returns the regions that the item's template or account names, as submitted; nil if it names
// none.
func (i Item) Regions() []string {
	var v struct {
		Regions  []string `json:"regions"`
		Pipeline struct {
			Regions []string `json:"regions"`
		} `json:"pipeline"`
	}
	// Values of other kinds have no such fields.
	_ = json.Unmarshal(i.Value, &v)
	return append(v.Regions, v.Pipeline.Regions...)
}
