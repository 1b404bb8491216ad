package targetlink

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func TestPathIsLostAfterSeveralTargetsFailInARow(t *testing.T) {
	c := qt.New(t)
	now := time.Now()
	var m Monitor
	for range 10 {
		_, changed := m.Record("one", Refused, now)
		c.Assert(changed, qt.IsFalse)
	}
	m.Record("two", Silent, now)
	m.Record("four", Canceled, now)
	c.Assert(m.Lost(), qt.IsFalse)
	change, changed := m.Record("three", Silent, now)
	c.Assert(changed, qt.IsTrue)
	c.Assert(change, qt.Equals, Change{Lost: true, Refused: 1, Silent: 2})
	change, changed = m.Record("one", Connected, now.Add(time.Second))
	c.Assert(changed, qt.IsTrue)
	c.Assert(change, qt.Equals, Change{Lasted: time.Second})
	c.Assert(m.Lost(), qt.IsFalse)
}

func TestPathIsNotLostByFailuresAmongSuccesses(t *testing.T) {
	c := qt.New(t)
	now := time.Now()
	var m Monitor
	for i := range 20 {
		m.Record(fmt.Sprint(i), Refused, now)
		m.Record(fmt.Sprint(i+1), Refused, now)
		m.Record("good", Connected, now)
	}
	for i := range 20 {
		m.Record(fmt.Sprint(i), Refused, now.Add(time.Duration(i)*failureWindow))
	}
	c.Assert(m.Lost(), qt.IsFalse)
}
