// Package bubble runs benchmarks in virtual time. synctest.Test takes only a
// *testing.T, so the package starts a test inside the benchmark.
package bubble

import (
	"testing"
	"testing/synctest"
)

// Run runs f in a synctest bubble and fails b if the test around f fails.
func Run(b *testing.B, f func()) {
	b.Helper()
	ok := testing.RunTests(func(string, string) (bool, error) { return true, nil }, []testing.InternalTest{{
		Name: b.Name(),
		F:    func(t *testing.T) { synctest.Test(t, func(*testing.T) { f() }) },
	}})
	if !ok {
		b.Fatal("the bubble failed")
	}
}
