package settings

import (
	"errors"
	"os"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"topazmoor/internal/strictjson"
)

const examplePath = "../../docs/examples/settings.hujson"

func TestExampleParses(t *testing.T) {
	c := qt.New(t)
	s, err := Load(examplePath)
	c.Assert(err, qt.IsNil)
	c.Assert(s.Node.DataCentre, qt.Equals, "poa-1")
	c.Assert(s.Listen.Caller.TLS.CertFile, qt.Equals, "caller.pem")
	c.Assert(s.Pools, qt.HasLen, 5)
}

// TestExampleNamesEverySetting fails when a setting is added without an entry
// in the example.
func TestExampleNamesEverySetting(t *testing.T) {
	c := qt.New(t)
	src, err := os.ReadFile(examplePath)
	c.Assert(err, qt.IsNil)
	for _, name := range strictjson.FieldNames(Settings{}) {
		c.Assert(strings.Contains(string(src), `"`+name+`"`), qt.IsTrue, qt.Commentf("%s", name))
	}
}

func TestAllProblemsAtOnce(t *testing.T) {
	c := qt.New(t)
	_, err := Parse([]byte(`{
		"node": {"name": "a", "colour": "red"},
		"listen": {
			"caller": {"addr": "localhost:1"},
			"admin": {"addr": 7},
			"peer": {"addr": "127.0.0.1:0"},
			"observe": {"addr": "127.0.0.1:0"},
		},
		"platform": {"addr": "127.0.0.1:1", "timeout": 3},
		"peers": {"key_file": "k"},
		"pools": [],
	}`))
	var probs strictjson.Problems
	c.Assert(errors.As(err, &probs), qt.IsTrue)
	paths := make(map[string]string)
	for _, p := range probs {
		paths[p.Path] = p.Reason
	}
	c.Assert(paths["node.colour"], qt.Contains, "not a known field")
	c.Assert(paths["node.data_centre"], qt.Contains, "is missing: write a string")
	c.Assert(paths["listen.admin.addr"], qt.Contains, "the number 7: write a string")
	// Decoding and validation faults are reported together, at most one per path.
	c.Assert(paths["listen.caller.addr"], qt.Contains, `"localhost:1" is not an IP number`)
	c.Assert(probs, qt.HasLen, len(paths))
	c.Assert(paths["platform.timeout"], qt.Contains, `write a duration such as "9s"`)
}

func TestValidationProblemsAtOnce(t *testing.T) {
	c := qt.New(t)
	_, err := Parse([]byte(`{
		"node": {"name": "a", "data_centre": "d"},
		"listen": {
			"caller": {"addr": "localhost:1"},
			"admin": {"addr": "127.0.0.1"},
			"peer": {"addr": "127.0.0.1:0"},
			"observe": {"addr": "127.0.0.1:0"},
		},
		"platform": {"addr": "127.0.0.1:1"},
		"peers": {"key_file": "k", "interval": "4s"},
		"operators": [{"name": "x", "token_sha256": "secret"}],
		"pools": [{"name": "p", "kind": "gpu", "refusal_statuses": [200]}],
		"log": {"level": "loud"},
	}`))
	c.Assert(err, qt.ErrorMatches, `(?s)listen.caller.addr: "localhost:1" is not an IP number.*`+
		`listen.admin.addr: .*operators\[0\].token_sha256: .*pools\[0\].kind: "gpu".*`+
		`pools\[0\].refusal_statuses\[0\]: 200.*peers.suspect_after: .*log.level: .*`)
}

func FuzzParse(f *testing.F) {
	src, err := os.ReadFile(examplePath)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(src)
	f.Add([]byte(`{"node": null, "pools": [{}]}`))
	f.Fuzz(func(t *testing.T, b []byte) {
		s, err := Parse(b)
		if err == nil && s.Node.DataCentre == "" {
			t.Fatal("accepted settings without a data centre")
		}
	})
}

func TestRegionsOfDataCentresAgreeWithTheNode(t *testing.T) {
	c := qt.New(t)
	src, err := os.ReadFile(examplePath)
	c.Assert(err, qt.IsNil)
	const listed = `"poa-1": "sul"`
	c.Assert(strings.Contains(string(src), listed), qt.IsTrue)
	for _, x := range []struct{ entry, want string }{
		{`"poa-1": "norte"`, `node.region: is "sul", but regions.data_centres puts "poa-1" into "norte": .*`},
		{`"poa-2": "sul"`, `regions.data_centres: has no entry for this node's data centre "poa-1": .*`},
		{`"poa-1": "sul", "x": ""`, `regions.data_centres.x: is empty: .*`},
	} {
		_, err := Parse([]byte(strings.Replace(string(src), listed, x.entry, 1)))
		c.Assert(err, qt.ErrorMatches, x.want)
	}
}
