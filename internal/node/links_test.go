package node

import (
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"topazmoor/internal/standin/memnet"
)

func TestCallersOfANodeThatLostItsLinksToTargetsAreServed(t *testing.T) {
	for name, state := range map[string]memnet.LinkState{"reset": memnet.Reset, "refused": memnet.Refusing, "silent": memnet.Silent} {
		t.Run(name, func(t *testing.T) {
			inCluster(t, 3, func(c *qt.C, cl *cluster) {
				targets := make(map[string]bool)
				for _, addr := range cl.world.Addrs {
					host, _, err := net.SplitHostPort(addr)
					c.Assert(err, qt.IsNil)
					targets[host] = true
				}
				cl.net.SetLinks(state, func(from, to string) bool { return from == cl.node(0).ip && targets[to] })
				for i := range 30 {
					// At first, what was sent over the old links is lost.
					_, _ = cl.ask(0, fmt.Sprint("onset ", i), false)
					time.Sleep(100 * time.Millisecond)
				}
				served := 0
				for i := range 30 {
					res, err := cl.ask(0, fmt.Sprint("cut ", i), i%2 == 0)
					if err == nil && res.Problem == nil {
						served++
					}
				}
				c.Assert(served >= 20, qt.IsTrue, qt.Commentf("served %d of 30", served))
			})
		})
	}
}

// A connection to a target goes through no node outside of the regions that its requests are bound to.
func TestLinksThroughOtherNodesStayInTheRegion(t *testing.T) {
	inTwoRegions(t, 2, func(c *qt.C, cl *cluster) {
		n := cl.node(0).Node
		mayPass := func(dataCentre, region string) bool {
			for id, addr := range cl.world.Addrs {
				if odd := strings.ContainsAny(id[len(id)-1:], "13579"); odd == (region == "north") && !n.mayCarry(dataCentre, addr) {
					return false
				}
			}
			return true
		}
		c.Assert(mayPass("dc-2", "north"), qt.IsTrue)
		cl.bindDesk(c, `["north"]`, 2)
		c.Assert(mayPass("dc-1", "north"), qt.IsTrue)
		c.Assert(mayPass("dc-2", "north"), qt.IsFalse)
		// No request that is bound to north goes to south.
		c.Assert(mayPass("dc-1", "south"), qt.IsTrue)
		cl.bindDesk(c, `["south", "north"]`, 3)
		c.Assert(mayPass("dc-2", "north"), qt.IsTrue)
	})
}
