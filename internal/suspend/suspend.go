// Package suspend detects suspensions of the host. Go's monotonic clock stops while a host is
// suspended, so timers, deadlines and ages don't count that time. The kernel's boot clock
// counts it: its lead over the monotonic clock is the time for which the host has been
// suspended. Changes of the time of day affect neither clock.
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
	// minGap is the shortest suspension that is detected. The two clocks are read one after
	// the other and the process may be preempted in between, so shorter suspensions cannot be
	// distinguished from preemption. State remains valid over so short a time.
	minGap = 200 * time.Millisecond
	// checkInterval is the interval at which Serve checks. Code that is about to act on
	// earlier state calls Check first.
	checkInterval = 100 * time.Millisecond
)

// Read returns the lead of the boot clock over the monotonic clock.
type Read func() (time.Duration, error)

// Detector detects suspensions of the host. It is safe for concurrent use. It implements
// suture.Service.
type Detector struct {
	read Read
	// onResume is called once for each suspension, with its length, by the goroutine that
	// detects it.
	onResume func(gap time.Duration)
	// suspended is the total length of the suspensions so far, in nanoseconds.
	suspended atomic.Int64

	mu sync.Mutex
	// ahead is the lead of the boot clock with which the next reading is compared.
	ahead time.Duration
}

// New returns a Detector that calls onResume after each suspension. If read is nil, the Detector
// reads the kernel's clocks.
func New(read Read, onResume func(gap time.Duration)) (*Detector, error) {
	if read == nil {
		read = readKernel
	}
	ahead, err := read()
	if err != nil {
		return nil, err
	}
	return &Detector{read: read, onResume: onResume, ahead: ahead}, nil
}

// readKernel implements Read with the kernel's clocks.
func readKernel() (time.Duration, error) {
	var boot, monotonic unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &monotonic); err != nil {
		return 0, eris.Wrap(err, "read the monotonic clock")
	}
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &boot); err != nil {
		return 0, eris.Wrap(err, "read the boot clock")
	}
	return time.Duration(boot.Nano() - monotonic.Nano()), nil
}

// SuspendedTime returns the total length of the detected suspensions since the Detector was created.
func (d *Detector) SuspendedTime() time.Duration { return time.Duration(d.suspended.Load()) }

// Check checks whether the host was suspended. If so, it calls onResume before it returns.
func (d *Detector) Check() {
	ahead, err := d.read()
	if err != nil {
		// The clocks could be read in New, so the error is ignored: the next check detects a
		// suspension too.
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	gap := ahead - d.ahead
	if gap < minGap {
		// Readings vary by the time between the reads of the two clocks. The lowest one is
		// closest to the true lead.
		d.ahead = min(d.ahead, ahead)
		return
	}
	d.ahead = ahead
	d.suspended.Add(int64(gap))
	d.onResume(gap)
}

// Serve implements suture.Service.
func (d *Detector) Serve(ctx context.Context) error {
	tick := time.NewTicker(checkInterval)
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
