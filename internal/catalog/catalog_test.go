package catalog

import (
	"os"
	"testing"

	qt "github.com/frankban/quicktest"

	"topazmoor/internal/settings"
)

func testPools() []settings.Pool {
	return []settings.Pool{
		{Name: "encoders", Kind: settings.Encode},
		{Name: "retrievers", Kind: settings.Retrieve},
		{Name: "rerankers", Kind: settings.Rerank},
		{Name: "engines", Kind: settings.Generate},
		{Name: "pilot-confirmation", Kind: settings.Service},
		{Name: "dock-intake", Kind: settings.Service},
	}
}

func loadExample(c *qt.C, name string) []Item {
	src, err := os.ReadFile("../../docs/examples/" + name)
	c.Assert(err, qt.IsNil)
	m, err := ParseManifest(src)
	c.Assert(err, qt.IsNil)
	items, err := m.Items()
	c.Assert(err, qt.IsNil)
	return items
}

func TestExamplesCompile(t *testing.T) {
	c := qt.New(t)
	for _, name := range []string{"harbour.hujson", "utility.hujson", "regions.hujson"} {
		cfg, err := New(testPools()).Apply(1, loadExample(c, name))
		c.Assert(err, qt.IsNil)
		c.Assert(cfg.Accounts(), qt.Equals, 2)
	}
}

func TestParametersReachThePlanWithTheirTypes(t *testing.T) {
	c := qt.New(t)
	cfg, err := New(testPools()).Apply(1, loadExample(c, "harbour.hujson"))
	c.Assert(err, qt.IsNil)
	plan := cfg.Account("dispatch-desk").Plan("handover-notes")
	c.Assert(plan.Class, qt.Equals, Batch)
	c.Assert(plan.Deadline.Seconds(), qt.Equals, 30.0)
	c.Assert(plan.Stages[3].MaxTokens, qt.Equals, 64)
	c.Assert(plan.Stages[3].Adapter, qt.Equals, "crew")
	c.Assert(plan.Stages[3].Kind, qt.Equals, settings.Generate)
}

func TestApplyRejectsTheWholeChange(t *testing.T) {
	c := qt.New(t)
	old, err := New(testPools()).Apply(1, loadExample(c, "harbour.hujson"))
	c.Assert(err, qt.IsNil)
	bad := []Item{
		{Kind: AccountItem, Name: "pilots"},
		{Kind: AccountItem, Name: "x", Value: []byte(`{"name":"x","tokens_sha256":["zz"],"pipelines":[
			{"name":"p","template":"answer","parameters":{"tokens":9999,"colour":"red"}},
			{"name":"q","template":"none"}]}`)},
	}
	_, err = old.Apply(2, bad)
	c.Assert(err, qt.ErrorMatches, `(?s).*parameters.model: is missing.*`)
	c.Assert(err, qt.ErrorMatches, `(?s).*parameters.tokens: 9999 is above the largest value 4096.*`)
	c.Assert(err, qt.ErrorMatches, `(?s).*parameters.colour: is not a parameter.*`)
	c.Assert(err, qt.ErrorMatches, `(?s).*template: "none" does not exist.*`)
	c.Assert(err, qt.ErrorMatches, `(?s).*tokens_sha256\[0\]: is not 64.*`)
	c.Assert(old.Account("pilots"), qt.IsNotNil)
	c.Assert(old.Revision, qt.Equals, int64(1))
}

func TestTemplateChangeRecompilesItsAccounts(t *testing.T) {
	c := qt.New(t)
	old, err := New(testPools()).Apply(1, loadExample(c, "harbour.hujson"))
	c.Assert(err, qt.IsNil)
	next, err := old.Apply(2, []Item{{Kind: TemplateItem, Name: "confirm", Value: []byte(`{
		"name":"confirm","parameters":[{"name":"pool","type":"string"}],
		"pipeline":{"class":"urgent","deadline":"5s","stages":[{"name":"confirm","pool":"${pool}"}]}}`)}})
	c.Assert(err, qt.IsNil)
	c.Assert(old.Account("pilots").Plan("berth-confirmation").Deadline.Seconds(), qt.Equals, 2.0)
	c.Assert(next.Account("pilots").Plan("berth-confirmation").Deadline.Seconds(), qt.Equals, 5.0)
	c.Assert(next.ByToken("pilots-token").Plan("berth-confirmation").Deadline.Seconds(), qt.Equals, 5.0)
}

func TestTemplateInUseCannotBeDeleted(t *testing.T) {
	c := qt.New(t)
	old, err := New(testPools()).Apply(1, loadExample(c, "harbour.hujson"))
	c.Assert(err, qt.IsNil)
	_, err = old.Apply(2, []Item{{Kind: TemplateItem, Name: "confirm"}})
	c.Assert(err, qt.ErrorMatches, `(?s).*"confirm" does not exist.*`)
}

func FuzzParseManifest(f *testing.F) {
	src, err := os.ReadFile("../../docs/examples/harbour.hujson")
	if err != nil {
		f.Fatal(err)
	}
	f.Add(src)
	f.Fuzz(func(t *testing.T, b []byte) {
		m, err := ParseManifest(b)
		if err != nil {
			return
		}
		items, err := m.Items()
		if err != nil {
			t.Fatal(err)
		}
		if _, err := New(testPools()).Apply(1, items); err == nil && len(m.Accounts) > 0 && len(m.Accounts[0].TokensSHA256) > 0 {
			if len(m.Accounts[0].TokensSHA256[0]) != 64 {
				t.Fatal("accepted a malformed token hash")
			}
		}
	})
}
