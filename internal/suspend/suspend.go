// Package suspend notices that the host stood still. While a host is suspended Go's time
// stands with it: timers, deadlines and ages go on afterwards as if nothing had been. The
// kernel's boot clock counts that time; how far it runs ahead of the steady clock is how long
// the host has been suspended. Steps of the time of day move neither.
package suspend

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sys/unix"
)

const (
	// least is the shortest time that counts as a suspension: the two clocks are read one
	// after the other, and the process may be put aside in between, so that shorter ones
	// cannot be told from it. Nothing that is believed is wrong after so short a time.
	least = 200 * time.Millisecond
	// checkEvery is how often a Detector looks by itself. Who is about to act on what was
	// believed before looks at that moment.
	checkEvery = 100 * time.Millisecond
)

// Read returns how far the boot clock is ahead of the steady one.
type Read func() (time.Duration, error)

// Detector notices suspensions of the host. It is safe for concurrent use. It implements
// suture.Service.
type Detector struct {
	read Read
	// woke is told how long each suspension was, once, by whoever notices it.
	woke func(gap time.Duration)
	// slept is the time in all suspensions so far.
	slept atomic.Int64

	mu    sync.Mutex
	ahead time.Duration
}

// New returns a Detector that calls woke after each suspension. read may be nil for the
// kernel's clocks.
func New(read Read, woke func(gap time.Duration)) (*Detector, error) {
	if read == nil {
		read = readKernel
	}
	ahead, err := read()
	if err != nil {
		return nil, err
	}
	return &Detector{read: read, woke: woke, ahead: ahead}, nil
}

// readKernel reads the kernel's clocks.
func readKernel() (time.Duration, error) {
	var boot, steady unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &steady); err != nil {
		return 0, eris.Wrap(err, "read the steady clock")
	}
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &boot); err != nil {
		return 0, eris.Wrap(err, "read the boot clock")
	}
	return time.Duration(boot.Nano() - steady.Nano()), nil
}

// Slept returns for how long the host has been suspended since the Detector was made, as far
// as it has noticed.
func (d *Detector) Slept() time.Duration { return time.Duration(d.slept.Load()) }

// Check looks whether the host was suspended. It returns once woke has.
func (d *Detector) Check() {
	ahead, err := d.read()
	if err != nil {
		// It could be read at the start; the next look tells.
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	gap := ahead - d.ahead
	if gap < least {
		// Readings differ by what lies between them.
		d.ahead = min(d.ahead, ahead)
		return
	}
	d.ahead = ahead
	d.slept.Add(int64(gap))
	d.woke(gap)
}

// Serve implements suture.Service.
func (d *Detector) Serve(ctx context.Context) error {
	tick := time.NewTicker(checkEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
			d.Check()
		}
	}
}
