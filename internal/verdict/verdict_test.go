package verdict

import (
	"errors"
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestCombineKeepsTheStrongerEvidence(t *testing.T) {
	c := qt.New(t)
	all := []Verdict{NotRun, MayHaveRun, Ran}
	for _, a := range all {
		for _, b := range all {
			got := a.Combine(b)
			c.Assert(got, qt.Equals, b.Combine(a))
			c.Assert(got == NotRun, qt.Equals, a == NotRun && b == NotRun)
		}
	}
}

func TestOfUnknownErrorProvesNothing(t *testing.T) {
	c := qt.New(t)
	c.Assert(Of(errors.New("x")), qt.Equals, MayHaveRun)
	c.Assert(Of(nil), qt.Equals, Ran)
	wrapped := fmt.Errorf("outer: %w", New(NotRun, NoTarget, "none"))
	c.Assert(Of(wrapped), qt.Equals, NotRun)
	c.Assert(CodeOf(wrapped), qt.Equals, NoTarget)
}

func TestWithPriorDoesNotChangeTheSharedError(t *testing.T) {
	c := qt.New(t)
	shared := New(NotRun, NoTarget, "none")
	c.Assert(Of(WithPrior(shared, MayHaveRun)), qt.Equals, MayHaveRun)
	c.Assert(shared.Verdict, qt.Equals, NotRun)
}
