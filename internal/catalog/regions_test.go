package catalog

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"topazmoor/internal/region"
)

// regionsManifest returns a manifest with one template and one account that name regions, from line 2
// and line 4 on.
func regionsManifest(template, account string) string {
	return fmt.Sprintf(`{"templates": [{"name": "v1.confirm", "parameters": [{"name": "region", "type": "string", "default": "north"}], "pipeline": {"class": "urgent", "deadline": "2s",
  %s
  "stages": [{"name": "s", "pool": "dock-intake"}]}}], "accounts": [{"name": "a.b", "tokens_sha256": [],
  %s
  "pipelines": [{"name": "p", "template": "v1.confirm"}]}]}`, template, account)
}

// compile compiles a manifest and checks its regions against those of two data centres. The error has
// the lines of the manifest.
func compile(src string) (*Compiled, error) {
	m, err := ParseManifest([]byte(src))
	if err != nil {
		return nil, err
	}
	items, err := m.Items()
	if err != nil {
		return nil, err
	}
	next, err := New(testPools()).Apply(1, items)
	if err == nil {
		err = next.CheckRegions(items, region.Map{"n1": "north", "s1": "south"}).Err()
	}
	return next, AddLines(err, "m.hujson", []byte(src))
}

func TestRegionsOfTemplateAndAccountBothBind(t *testing.T) {
	c := qt.New(t)
	for _, x := range []struct{ template, account, want string }{
		{``, ``, ""},
		{`"regions": ["north"],`, ``, "north"},
		{``, `"regions": ["south"],`, "south"},
		{`"regions": ["south", "north"],`, `"regions": ["north"],`, "north"},
		{`"regions": ["${region}"],`, ``, "north"},
	} {
		cfg, err := compile(regionsManifest(x.template, x.account))
		c.Assert(err, qt.IsNil)
		allowed, ok := cfg.Account("a.b").Regions("p")
		c.Assert(ok, qt.IsTrue)
		c.Assert(allowed.String(), qt.Equals, x.want)
		c.Assert(allowed.All(), qt.Equals, x.want == "")
	}
}

func TestRegionsThatCannotHoldAreRefusedWithTheirLine(t *testing.T) {
	c := qt.New(t)
	for _, x := range []struct{ template, account, want string }{
		{`"regions": ["north"],`, `"regions": ["south"],`, `m.hujson:5: account/a.b.pipelines\[0\].template: "v1.confirm" allows only the regions north and the account only south: .*`},
		{`"regions": [],`, ``, `m.hujson:2: template/v1.confirm.pipeline.regions: is an empty list: .*`},
		{``, `"regions": [],`, `m.hujson:4: account/a.b.regions: is an empty list: .*`},
		{``, `"regions": ["north", ""],`, `m.hujson:4: account/a.b.regions\[1\]: is empty: .*`},
		{``, `"regions": ["nroth"],`, `m.hujson:4: account/a.b.regions: names nroth, .* write one of north, south`},
		{`"regions": ["west"],`, ``, `m.hujson:2: template/v1.confirm.pipeline.regions: names west, .*`},
	} {
		_, err := compile(regionsManifest(x.template, x.account))
		c.Assert(err, qt.ErrorMatches, x.want)
	}
}
