// Package bubble runs code in virtual time inside benchmarks, for which
// testing/synctest itself has no entry.
package bubble

import (
	"testing"
	"testing/synctest"
)

// Run runs f in a synctest bubble.
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
