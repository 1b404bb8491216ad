package main

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"
)

// The case dark: a machine loses power, servers of a second version start while it is dark, and its callers
// take their streams up at other machines when it is back and their channels break.
const (
	// darkNode is the index of the node whose machine loses power.
	darkNode = 0
	// darkLoad is for how long streams begin before the machine loses power, and resumeLoad after it is back.
	darkLoad   = 5 * time.Second
	resumeLoad = 2 * time.Second
	// darkFor is for how long the machine is dark, darkRelease when in that time the new version comes.
	darkFor     = 3500 * time.Millisecond
	darkRelease = 500 * time.Millisecond
	// minResumed and minShare are those of the rule LOST: of minResumed or more streams, less than minShare of
	// the share of new streams that begin go on.
	minResumed = 12
	minShare   = 0.5
)

func playDark(ctx context.Context, e *environment) (broken bool, err error) {
	c := newVersionsCase(e)
	if c.w, err = newWorld(); err != nil {
		return false, err
	}
	defer func() { err = errors.Join(err, c.w.close()) }()
	if err := c.configure(ctx); err != nil {
		return false, err
	}
	c.nodes, err = startFleet(ctx, e, fleetZones, c.w.storeAddr, c.sawCall)
	defer func() { err = errors.Join(err, c.nodes.stop()) }()
	if err != nil {
		return false, err
	}
	// Callers reach the machine through a proxy: without power it sends nothing, not even a reset.
	x := c.nodes[darkNode]
	front, err := newProxy("127.0.0.1:0", x.callers(), nil)
	if err != nil {
		return false, err
	}
	defer front.close()
	x.front = front.addr()
	if err := c.playPowerLoss(ctx, x, front); err != nil {
		return false, err
	}
	return c.judgeLost()
}

// playPowerLoss plays the loss of power, the new version and the callers.
func (c *versionsCase) playPowerLoss(ctx context.Context, x *node, front *proxy) error {
	load, cancel := context.WithTimeout(ctx, darkLoad+darkFor+resumeLoad)
	defer cancel()
	var callers sync.WaitGroup
	for _, n := range c.nodes {
		callers.Go(func() { c.beginStreams(load, ctx, n, &callers) })
	}
	if !sleep(ctx, darkLoad) {
		return ctx.Err()
	}
	if c.e.trouble {
		c.e.record.write("the machine of %s loses power", x.name)
		front.silence()
		c.killNode(x)
	}
	if !sleep(ctx, darkRelease) {
		return ctx.Err()
	}
	if err := c.release(); err != nil {
		return err
	}
	if !sleep(ctx, darkFor-darkRelease) {
		return ctx.Err()
	}
	if c.e.trouble {
		c.e.record.write("the machine of %s is back", x.name)
		front.close()
		if err := x.start(); err != nil {
			return err
		}
	}
	callers.Wait()
	return nil
}

// judgeLost applies the rule LOST: of 12 or more streams that callers take up again, while two servers of their
// version serve, the share that goes on is under half of the share of new streams that begin.
func (c *versionsCase) judgeLost() (broken bool, err error) {
	resumed, wentOn, others, began := 0, 0, 0, 0
	for _, s := range c.streams {
		switch {
		case s.broken && s.last > s.lastBefore:
			resumed++
			wentOn++
		case s.broken:
			resumed++
		case s.last > 0:
			others++
			began++
		default:
			others++
		}
	}
	summary := fmt.Sprintf("%d of %d streams that were taken up again went on, %d of %d other streams began", wentOn, resumed, began, others)
	c.e.record.write("%s", summary)
	fmt.Println(summary)
	if began == 0 {
		return false, errors.New("no stream began")
	}
	if resumed < minResumed {
		return false, nil
	}
	return float64(wentOn)/float64(resumed) < minShare*float64(began)/float64(others), nil
}
