package cli

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestRolloutWaitEndsWithTheOutcome: the command prints the forecast and each state, and its exit code is
// the outcome.
func TestRolloutWaitEndsWithTheOutcome(t *testing.T) {
	c := qt.New(t)
	token := filepath.Join(t.TempDir(), "token")
	c.Assert(os.WriteFile(token, []byte("op"), 0o600), qt.IsNil)
	for state, want := range map[string]int{"completed": ExitOK, "reverted": ExitFailed} {
		node := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.Method == http.MethodPut {
				fmt.Fprint(w, `{"revision": 7, "accepted": true, "forecast": {"targets": [{"data_centre": "n1", "new": 1, "old": 2}],
					"per_second": 9, "trial_calls": 12, "warnings": ["too few"]}}`)
				return
			}
			fmt.Fprintf(w, `{"pool": "p", "to": "v2", "state": %q, "reason": "because"}`, state)
		}))
		defer node.Close()
		var out, errs strings.Builder
		code := Main([]string{"rollout", "start", "p", "--to", "v2", "--within", "10s", "--wait",
			"--admin", strings.TrimPrefix(node.URL, "http://"), "--token-file", token}, &out, &errs)
		c.Assert(code, qt.Equals, want, qt.Commentf("%s", errs.String()))
		c.Assert(out.String(), qt.Contains, "about 12 calls go to the version while it is tried\nwarning: too few\naccepted as revision 7\n")
		c.Assert(errs.String(), qt.Contains, "p to v2: "+state)
	}
}
