package cli

import (
	"encoding/json"
	"fmt"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"topazmoor/internal/poison"
	"topazmoor/internal/store"
	platformstandin "topazmoor/platform/standin"
)

func TestQuarantineIsListedAndLifted(t *testing.T) {
	c := qt.New(t)
	m := store.NewMemory()
	srv := httptest.NewServer(platformstandin.NewStore(m))
	defer srv.Close()
	file := filepath.Join(t.TempDir(), "node.toml")
	text := fmt.Sprintf(platformSettings, "node-1", strings.TrimPrefix(srv.URL, "http://"))
	c.Assert(os.WriteFile(file, []byte(text), 0o600), qt.IsNil)
	d := poison.DigestOf("pilots", "POST", "port.example", "/plan/x", nil).String()
	value, err := json.Marshal(poison.Record{Ended: []string{"e1@0", "e2@0"}, Probes: 1})
	c.Assert(err, qt.IsNil)
	_, err = m.Commit(t.Context(), store.Tx{Writes: []store.Write{{Table: "crashes", Key: d, Value: value}, {Table: poison.QuarantineTable, Key: d, Value: value}}})
	c.Assert(err, qt.IsNil)

	code, out, _ := invoke("quarantine", "list", "--platform", file)
	c.Assert(code, qt.Equals, 0)
	c.Assert(out, qt.Contains, d)
	c.Assert(out, qt.Contains, "e1@0 e2@0")
	code, out, _ = invoke("-o", "json", "quarantine", "list", "--platform", file)
	c.Assert(code, qt.Equals, 0)
	var listed []poison.Listed
	c.Assert(json.Unmarshal([]byte(out), &listed), qt.IsNil)
	c.Assert(listed, qt.HasLen, 1)

	code, _, _ = invoke("quarantine", "lift", "nonsense", "--platform", file, "--note", "x")
	c.Assert(code, qt.Equals, ExitUsage)
	code, out, _ = invoke("quarantine", "lift", d, "--platform", file, "--note", "engines were updated", "--by", "ana")
	c.Assert(code, qt.Equals, 0)
	c.Assert(out, qt.Contains, "2 targets ended")
	code, _, errOut := invoke("quarantine", "lift", d, "--platform", file, "--note", "again", "--by", "ana")
	c.Assert(code, qt.Equals, ExitFailed)
	c.Assert(errOut, qt.Contains, "no target ended")
	code, _, _ = invoke("quarantine", "list", "--platform", file, "--timeout", "100ms")
	c.Assert(code, qt.Equals, 0)
	srv.Close()
	code, _, _ = invoke("quarantine", "list", "--platform", file)
	c.Assert(code, qt.Equals, ExitUnavailable)
}
