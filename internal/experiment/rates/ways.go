package rates

import (
	"errors"
	"math"
	"time"

	"topazmoor/internal/sharedrate"
)

// Way is a way for nodes to share a rate.
type Way string

// The ways.
const (
	// Permits: nodes ask the first that lives in the order of rendezvous hashing, as they do in
	// production.
	Permits Way = "permits"
	// Even: each node has an even share of its own, and says nothing to the others.
	Even Way = "even"
	// Few: three nodes by rendezvous hashing have a third each; the others send nothing.
	Few Way = "few"
)

// Ways lists all ways.
var Ways = []Way{Permits, Even, Few}

// fewNodes is how many nodes share a rate with Few.
const fewNodes = 3

var errLost = errors.New("rates: no answer")

// rateLimiter keeps a node's requests to the rates of targets, in one of the ways.
type rateLimiter interface {
	// acquire calls done when a request to t may be sent, or is refused.
	acquire(t *target, done func(ok bool))
	// grant answers another node's request for permits.
	grant(a sharedrate.PermitRequest) sharedrate.Grant
	// setNodes tells which other nodes are alive.
	setNodes(others []*node, now time.Time)
}

// begin returns the rateLimiter of a process that begins now.
func (w Way) begin(r *run, n *node) rateLimiter {
	if w == Permits {
		began := r.clock()
		if r.now == 0 {
			began = began.Add(-time.Hour)
		}
		return &permits{
			r: r, n: n, byName: make(map[string]*node), asking: make(map[string]bool), waiting: make(map[string][]*waiter),
			broker: sharedrate.NewBroker(sharedrate.Node{Name: n.name}, r.rnd.Float64, began),
		}
	}
	return &alone{r: r, n: n, few: w == Few, next: make(map[string]time.Duration)}
}

// permits drives the Broker of production.
type permits struct {
	r       *run
	n       *node
	broker  *sharedrate.Broker
	byName  map[string]*node
	asking  map[string]bool
	waiting map[string][]*waiter
}

type waiter struct {
	latest time.Time
	done   func(ok bool)
}

func (p *permits) setNodes(others []*node, now time.Time) {
	var list []sharedrate.Node
	for _, n := range others {
		p.byName[n.name] = n
		list = append(list, sharedrate.Node{Name: n.name})
	}
	p.broker.SetNodes(list, now)
}

func (p *permits) grant(a sharedrate.PermitRequest) sharedrate.Grant {
	g, look := p.broker.Grant(a, p.r.clock())
	for _, n := range look {
		p.r.ask(p.n, p.byName[n.Name], sharedrate.PermitRequest{}, func(_ sharedrate.Grant, err error) {
			p.broker.RecordAnswer(n.Name, err, p.r.clock())
		})
	}
	return g
}

func (p *permits) acquire(t *target, done func(ok bool)) {
	now := p.r.clock()
	latest := now.Add(p.r.wait())
	if !p.asking[t.key] {
		if permit, ok := p.broker.Take(t.key, latest, now); ok {
			p.use(permit, done)
			return
		}
		if opens := p.broker.RetryAt(t.key); now.Before(opens) && latest.Before(opens) {
			done(false)
			return
		}
	}
	p.waiting[t.key] = append(p.waiting[t.key], &waiter{latest, done})
	if !p.asking[t.key] {
		p.ask(t, 0)
	}
}

// use sends under a permit when it may be used.
func (p *permits) use(permit sharedrate.Permit, done func(ok bool)) {
	p.r.after(permit.From.Sub(p.r.clock()), func() { done(true) })
}

// mostAsked is how many nodes are asked for one permit.
const mostAsked = 2

// ask asks for the permits that requests wait for.
func (p *permits) ask(t *target, tries int) {
	p.asking[t.key] = true
	now := p.r.clock()
	to, ok := p.broker.GranterFor(t.key, now)
	asked := len(p.waiting[t.key])
	var latest time.Time
	for _, w := range p.waiting[t.key] {
		if w.latest.After(latest) {
			latest = w.latest
		}
	}
	a := p.broker.PermitRequest(sharedrate.Rate{Key: t.key, PerSecond: t.perSecond, ConfirmedAt: t.heard}, asked, latest, now)
	switch {
	case !ok:
		p.answered(t, asked, nil)
	case to.Name == p.n.name:
		g := p.grant(a)
		p.answered(t, asked, &g)
	default:
		p.r.ask(p.n, p.byName[to.Name], a, func(g sharedrate.Grant, err error) {
			p.broker.RecordAnswer(to.Name, err, p.r.clock())
			switch {
			case err == nil:
				p.answered(t, asked, &g)
			case tries+1 < mostAsked:
				p.ask(t, tries+1)
			default:
				p.answered(t, asked, nil)
			}
		})
	}
}

// answered gives the requests that wait what was granted.
func (p *permits) answered(t *target, asked int, g *sharedrate.Grant) {
	now := p.r.clock()
	p.broker.ApplyGrant(t.key, g, now)
	p.asking[t.key] = false
	waiting := p.waiting[t.key]
	p.waiting[t.key] = nil
	for i, w := range waiting {
		permit, ok := p.broker.Take(t.key, w.latest, now)
		switch {
		case ok:
			p.use(permit, w.done)
		case i < asked:
			w.done(false)
		default:
			p.waiting[t.key] = append(p.waiting[t.key], w)
		}
	}
	if len(p.waiting[t.key]) > 0 {
		p.ask(t, 0)
	}
}

// alone is a node that keeps to a part of the rate by itself.
type alone struct {
	r    *run
	n    *node
	few  bool
	next map[string]time.Duration
	// nodes is how many it knows, itself included.
	nodes  int
	owners *sharedrate.GranterOrder
}

func (a *alone) setNodes(others []*node, now time.Time) {
	a.nodes = len(others) + 1
	a.owners = sharedrate.NewGranterOrder(sharedrate.Node{Name: a.n.name}, now)
	var list []sharedrate.Node
	for _, n := range others {
		list = append(list, sharedrate.Node{Name: n.name})
	}
	a.owners.Set(list, now)
}

// share is the node's part of a rate.
func (a *alone) share(key string) float64 {
	switch {
	case a.nodes == 0:
		return 0
	case !a.few || a.nodes <= fewNodes:
		return 1 / float64(a.nodes)
	}
	if place, _ := a.owners.Place(key, func(string) bool { return false }); place >= fewNodes {
		return 0
	}
	return 1.0 / fewNodes
}

func (a *alone) acquire(t *target, done func(ok bool)) {
	share := a.share(t.key)
	next := max(a.next[t.key], a.r.now)
	if share == 0 || next-a.r.now > a.r.wait() {
		done(false)
		return
	}
	spacing := float64(time.Second) / (t.perSecond * share)
	a.next[t.key] = next + time.Duration(min(spacing, math.MaxInt32*float64(time.Second)))
	a.r.at(next, func() { done(true) })
}

func (a *alone) grant(sharedrate.PermitRequest) sharedrate.Grant { return sharedrate.Grant{} }
