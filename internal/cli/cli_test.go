package cli

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

const exampleDir = "../../docs/examples/"

// invoke runs one command line.
func invoke(args ...string) (code int, stdout, stderr string) {
	var out, errs bytes.Buffer
	code = Main(args, &out, &errs)
	return code, out.String(), errs.String()
}

// TestDemo runs the whole system over loopback.
func TestDemo(t *testing.T) {
	c := qt.New(t)
	code, out, errs := invoke("demo", "-o", "json")
	c.Assert(code, qt.Equals, ExitOK, qt.Commentf("%s%s", out, errs))
	var rows []demoRow
	c.Assert(json.Unmarshal([]byte(out), &rows), qt.IsNil)
	c.Assert(rows, qt.HasLen, 13)
	verdicts := make(map[string]int)
	for _, r := range rows {
		verdicts[r.Verdict]++
	}
	c.Assert(verdicts, qt.DeepEquals, map[string]int{"ran": 10, "not_run": 3})
}

// TestDemoFailsWhenSomethingIsWrong applies a manifest without the pipelines
// that the demo's requests name.
func TestDemoFailsWhenSomethingIsWrong(t *testing.T) {
	c := qt.New(t)
	code, out, _ := invoke("demo", exampleDir+"utility.hujson")
	c.Assert(code, qt.Equals, ExitFailed)
	c.Assert(out, qt.Contains, "WRONG")
}

func TestEveryCommandHasHelp(t *testing.T) {
	c := qt.New(t)
	for _, name := range []string{"serve", "demo", "standin", "check", "apply", "get", "drain", "stop", "status", "audit", "batch", "load", "quarantine", "version"} {
		code, out, _ := invoke(name, "--help")
		c.Assert(code, qt.Equals, ExitOK)
		c.Assert(out, qt.Contains, "Usage: topazmoor "+name)
	}
}

func TestExitCodes(t *testing.T) {
	c := qt.New(t)
	dir := t.TempDir()
	token := filepath.Join(dir, "token")
	c.Assert(os.WriteFile(token, []byte("t"), 0o600), qt.IsNil)
	tests := []struct {
		args []string
		want int
	}{
		{[]string{"version"}, ExitOK},
		{[]string{}, ExitUsage},
		{[]string{"dance"}, ExitUsage},
		{[]string{"version", "-o", "xml"}, ExitUsage},
		{[]string{"check", "-s", exampleDir + "settings.hujson", exampleDir + "harbour.hujson"}, ExitOK},
		{[]string{"check", "-s", exampleDir + "settings.hujson", exampleDir + "utility.hujson"}, ExitUsage},
		{[]string{"check", "-s", exampleDir + "harbour.hujson"}, ExitUsage},
		{[]string{"check", "-s", exampleDir + "settings.hujson"}, ExitOK},
		{[]string{"serve", "-s", filepath.Join(dir, "none")}, ExitUsage},
		{[]string{"status"}, ExitUsage},
		{[]string{"status", "--admin", "127.0.0.1:1", "--token-file", token}, ExitUnavailable},
	}
	for _, tt := range tests {
		code, out, errs := invoke(tt.args...)
		c.Assert(code, qt.Equals, tt.want, qt.Commentf("%v\n%s%s", tt.args, out, errs))
	}
}

func TestCheckNamesEveryFault(t *testing.T) {
	c := qt.New(t)
	file := filepath.Join(t.TempDir(), "s.hujson")
	c.Assert(os.WriteFile(file, []byte(`{"node": {"name": 1}, "peers": {"key_file": "k", "x": 1}}`), 0o600), qt.IsNil)
	_, _, errs := invoke("check", "-s", file)
	for _, want := range []string{"node.name: is the number 1", "node.data_centre: is missing", "peers.x: is not a known field", "listen: is missing"} {
		c.Assert(errs, qt.Contains, want)
	}
}

func TestCheckOfAPlatformFileNamesTheField(t *testing.T) {
	c := qt.New(t)
	good := `node = "n"
zone = "z"
ip = "127.0.0.1"
portRange = [7740,7755]
[listen]
front = "127.0.0.1:8625"
ready = "127.0.0.1:8621"
[platform]
address = "127.0.0.1:8624"
`
	file := filepath.Join(t.TempDir(), "node.toml")
	c.Assert(os.WriteFile(file, []byte(good), 0o600), qt.IsNil)
	var out, errs bytes.Buffer
	c.Assert(Main([]string{"check", "--platform", file}, &out, &errs), qt.Equals, ExitOK)
	c.Assert(out.String(), qt.Contains, "node n in z")
	c.Assert(os.WriteFile(file, []byte(strings.Replace(good, "8624", "", 1)), 0o600), qt.IsNil)
	c.Assert(Main([]string{"check", "--platform", file}, &out, &errs), qt.Equals, ExitUsage)
	c.Assert(errs.String(), qt.Contains, "platform.address")
	c.Assert(os.WriteFile(file, []byte(strings.Replace(good, "ready", "redy", 1)), 0o600), qt.IsNil)
	c.Assert(Main([]string{"check", "--platform", file}, &out, &errs), qt.Equals, ExitUsage)
	c.Assert(errs.String(), qt.Contains, "listen.ready")
}

func TestServeOnThePlatformFailsAtOnceWithoutSettings(t *testing.T) {
	c := qt.New(t)
	t.Setenv("TOPAZMOOR_SETTINGS", filepath.Join(t.TempDir(), "none.toml"))
	var out, errs bytes.Buffer
	c.Assert(Main([]string{"serve", "--platform"}, &out, &errs), qt.Equals, ExitUsage)
	c.Assert(errs.String(), qt.Contains, "settings file")
}

func TestExplainReadsLogs(t *testing.T) {
	c := qt.New(t)
	file := filepath.Join(t.TempDir(), "node.log")
	line := `{"time":"2026-03-05T05:41:12.1Z","level":"INFO","msg":"sent","node":"a","request":"r1","target":"e-1"}` + "\n"
	c.Assert(os.WriteFile(file, []byte(line), 0o600), qt.IsNil)
	var out, errs bytes.Buffer
	c.Assert(Main([]string{"explain", "r1", file}, &out, &errs), qt.Equals, ExitOK)
	c.Assert(out.String(), qt.Contains, "target=e-1")
	c.Assert(Main([]string{"explain", "r2", file}, &out, &errs), qt.Equals, ExitFailed)
	c.Assert(errs.String(), qt.Contains, "no line is about request")
}
