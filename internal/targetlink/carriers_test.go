package targetlink

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

const (
	// modelNodes and modelCentres are the size of the modelled fleet.
	modelNodes   = 985
	modelCentres = 7
	// modelRate is how many requests a second come to a node, modelTime the mean time of one, and
	// modelBytes what crosses for it in both directions.
	modelRate  = 8.0
	modelTime  = 2 * time.Second
	modelBytes = 12 << 10
	modelSpan  = 20 * time.Second
)

// cutFleet is a fleet whose cut nodes connect to targets through others.
type cutFleet struct {
	nodes []Node
	cut   map[string]bool
	// open counts the connections that are open on behalf of others, by node; peak is the most at one
	// time, and opened counts all.
	open, peak, opened map[string]int
	refused            int
	ends               endings
}

// ending is when a connection ends.
type ending struct {
	at   time.Time
	node string
}

type endings []ending

func (e endings) Len() int           { return len(e) }
func (e endings) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e endings) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *endings) Push(x any)        { *e = append(*e, x.(ending)) }
func (e *endings) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

func newCutFleet(isCut func(i int) bool) *cutFleet {
	l := &cutFleet{cut: make(map[string]bool), open: make(map[string]int), peak: make(map[string]int), opened: make(map[string]int)}
	for i := range modelNodes {
		n := Node{Name: fmt.Sprint("node-", i), DataCentre: fmt.Sprint("dc-", i%modelCentres)}
		l.nodes = append(l.nodes, n)
		l.cut[n.Name] = isCut(i)
	}
	return l
}

// play has the cut nodes take turns in sending requests.
func (l *cutFleet) play(rnd *rand.Rand) {
	var askers []Others
	for _, n := range l.nodes {
		if l.cut[n.Name] {
			askers = append(askers, Others{Nodes: func() []Node { return l.nodes }, DataCentre: n.DataCentre, DataCentreOf: func(addr string) string { return addr }})
		}
	}
	choices := make([]nodeChoice, len(askers))
	start := time.Now()
	step := time.Duration(float64(time.Second) / (modelRate * float64(len(askers))))
	for at := time.Duration(0); at < modelSpan; at += step {
		i := rnd.IntN(len(askers))
		l.connect(askers[i], &choices[i], fmt.Sprint("dc-", rnd.IntN(modelCentres)), start.Add(at), rnd)
	}
}

// connect opens a connection through the first node that has links.
func (l *cutFleet) connect(o Others, c *nodeChoice, target string, now time.Time, rnd *rand.Rand) {
	for len(l.ends) > 0 && l.ends[0].at.Before(now) {
		l.open[heap.Pop(&l.ends).(ending).node]--
	}
	for _, n := range c.choose(o, target, nodesWhileLost, now) {
		if l.cut[n.Name] {
			c.failed(n, now)
			continue
		}
		l.open[n.Name]++
		l.opened[n.Name]++
		l.peak[n.Name] = max(l.peak[n.Name], l.open[n.Name])
		heap.Push(&l.ends, ending{now.Add(time.Duration(rnd.ExpFloat64() * float64(modelTime))), n.Name})
		return
	}
	l.refused++
}

// BenchmarkTunnels reports what nodes with links pay while others have none.
func BenchmarkTunnels(b *testing.B) {
	for name, isCut := range map[string]func(i int) bool{
		"100 of 985 nodes":                     func(i int) bool { return i < 100 },
		"a data centre of seven":               func(i int) bool { return i%modelCentres == 0 },
		"a data centre of seven, but 7 of 141": func(i int) bool { return i%modelCentres == 0 && i >= 7*modelCentres },
	} {
		b.Run(name, func(b *testing.B) {
			for b.Loop() {
				l := newCutFleet(isCut)
				l.play(rand.New(rand.NewPCG(1, 2)))
				peak, most, sum := 0, 0, 0
				for node, n := range l.opened {
					peak, most, sum = max(peak, l.peak[node]), max(most, n), sum+n
				}
				seconds := modelSpan.Seconds()
				b.ReportMetric(float64(peak), "open-at-most")
				b.ReportMetric(float64(sum)/float64(len(l.opened))/seconds*modelBytes/1024, "KB/s-mean")
				b.ReportMetric(float64(most)/seconds*modelBytes/1024, "KB/s-most")
				b.ReportMetric(float64(l.refused), "refused")
			}
		})
	}
}
