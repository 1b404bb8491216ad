package suspend

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func TestSuspensionsAreNoticedOnce(t *testing.T) {
	c := qt.New(t)
	var ahead time.Duration
	var gaps []time.Duration
	d, err := New(func() (time.Duration, error) { return ahead, nil }, func(gap time.Duration) { gaps = append(gaps, gap) })
	c.Assert(err, qt.IsNil)
	d.Check()
	c.Assert(gaps, qt.HasLen, 0)
	ahead = 5 * time.Second
	d.Check()
	d.Check()
	c.Assert(gaps, qt.DeepEquals, []time.Duration{5 * time.Second})
	c.Assert(d.SuspendedTime(), qt.Equals, 5*time.Second)
	// The process was preempted between the reads of the two clocks.
	ahead += 150 * time.Millisecond
	d.Check()
	ahead -= 150 * time.Millisecond
	d.Check()
	c.Assert(gaps, qt.HasLen, 1)
	ahead += time.Second
	d.Check()
	c.Assert(gaps, qt.HasLen, 2)
	c.Assert(d.SuspendedTime(), qt.Equals, 6*time.Second)
}

func TestKernelClocksCanBeRead(t *testing.T) {
	c := qt.New(t)
	first, err := readKernel()
	c.Assert(err, qt.IsNil)
	c.Assert(first >= -minGap, qt.IsTrue, qt.Commentf("the boot clock is %v ahead", first))
}

func BenchmarkCheck(b *testing.B) {
	d, err := New(nil, func(time.Duration) {})
	qt.Assert(b, err, qt.IsNil)
	for b.Loop() {
		d.Check()
	}
}
