package capacity

import (
	"fmt"
	"math"
	"time"

	"topazmoor/internal/ownership"
	"topazmoor/internal/peer"
	"topazmoor/internal/relay"
	"topazmoor/internal/rollout"
	"topazmoor/internal/sharedrate"
	"topazmoor/internal/stagebatch"
	"topazmoor/internal/store"
	"topazmoor/internal/watch"
)

// The load of a node, as the fleet is designed for it.
const (
	// requestsPerSecond is the load of a node; each request orders the results of stages, with some
	// pieces each.
	requestsPerSecond = 8.25
	stages, pieces    = 4, 6
	// orderTime is how long an order takes; the node that forms the batches reports its progress
	// once more in each progressInterval.
	orderTime, progressInterval = 400 * time.Millisecond, 250 * time.Millisecond
	// permitsPerSecond is how often a node asks for permits of a rate.
	permitsPerSecond = 0.2
	// rowBytes is the size of a row of the list of targets; each target's row changes once in
	// rowLifetime.
	rowBytes    = 300
	rowLifetime = time.Hour
	// heartbeatInterval is the interval of messages to a follower without changes, storeTables the
	// number of tables in them.
	heartbeatInterval = 400 * time.Millisecond
	storeTables       = 4
	// versionsOnTrial and routesOnTrial decide the size of a report on a roll-out.
	versionsOnTrial, routesOnTrial = 2, 5
	// pingInterval is the interval of keep-alives on a connection; a ping and its answer have
	// pingBytes. A node has a connection to the owner of each of ownersCalled kinds of work.
	pingInterval = 10 * time.Second
	pingBytes    = 24
	ownersCalled = 3
	// mostRegions is the largest number of regions of a fleet that is worked out.
	mostRegions = 3
)

// callKind is a kind of call between nodes, with the traffic that one node causes by it.
type callKind struct {
	name string
	// bytes is in bytes a second, of both directions together.
	bytes float64
	// level is that of the owner with which a node has the calls.
	level ownership.Level
}

// resultNames are the names of the results of a stage.
func resultNames() []string {
	out := make([]string, pieces)
	for i := range out {
		out[i] = fmt.Sprintf("10.1.64.%d:8080/5c1e07a2e440", i)
	}
	return out
}

// orderBytes is the traffic of a node by orders for stage results, in bytes a second.
func orderBytes() float64 {
	o := stagebatch.Order{
		Service: "stage", Request: "9c41d07be2a35f68", Stage: 2, Pieces: pieces, Inputs: resultNames(), ResultBytes: 60_000, DataCentre: "north-a",
		Due: time.Now().Add(time.Second), Deadline: time.Now().Add(4 * time.Second),
	}
	request, progress, result := peer.OrderSizes(o, stagebatch.Waits{OnTime: make([]time.Duration, 3)}, resultNames())
	reports := 1 + int(orderTime/progressInterval)
	return requestsPerSecond * stages * float64(request+reports*progress+result+peer.StreamOverhead(2+reports))
}

// releaseBytes is the traffic of a node by calls that release results, in bytes a second.
func releaseBytes() float64 {
	request, answer := peer.FreeSizes("stage", resultNames())
	return requestsPerSecond * stages * float64(request+answer+peer.StreamOverhead(2))
}

// permitBytes is the traffic of a node by requests for permits, in bytes a second.
func permitBytes() float64 {
	ask := sharedrate.PermitRequest{Key: "repeats/stage", Asker: "node-100", PerSecond: 100, Want: 1, Within: time.Second}
	request, answer := peer.PermitSizes(ask, sharedrate.Grant{Permits: 1, FirstIn: time.Millisecond, Spacing: time.Millisecond})
	return permitsPerSecond * float64(request+answer+peer.StreamOverhead(2))
}

// updateBytes is what a node receives from the node that it follows, in bytes a second.
func updateBytes(s Size) float64 {
	idle := relay.Message{Tables: make([]relay.TableMessage, storeTables)}
	idleSize, err := peer.UpdateSize(idle)
	if err != nil {
		// Messages without a whole table are not compressed.
		panic(err)
	}
	changed := relay.Message{Tables: make([]relay.TableMessage, storeTables)}
	changed.Tables[0].News = &watch.News{Rows: []store.Row{{Key: "target-100", Value: make([]byte, rowBytes)}}}
	changedSize, err := peer.UpdateSize(changed)
	if err != nil {
		panic(err)
	}
	changes := float64(s.Targets) / rowLifetime.Seconds()
	return float64(time.Second/heartbeatInterval)*float64(idleSize) + changes*float64(changedSize)
}

// reportBytes is what a node reports during a roll-out, in bytes a second.
func reportBytes(s Size) float64 {
	r := rollout.Report{Node: "node-100", Order: rollout.Order{Service: "engines", To: "v2"}, Evidence: rollout.Evidence{Tallies: make(map[rollout.Source]rollout.Tally)}}
	for i := range versionsOnTrial * routesOnTrial {
		tally := rollout.Tally{}
		tally.Took[len(tally.Took)/2] = 100
		r.Evidence.Tallies[rollout.Source{Route: fmt.Sprint("route-", i/versionsOnTrial), New: i%versionsOnTrial == 1, Target: fmt.Sprint("target-", i)}] = tally
	}
	return float64(peer.ReportSize(r)+peer.StreamOverhead(2)) / rollout.HoldOf(s.Hosts).Seconds()
}

// callKinds returns the kinds of calls of a node. former and evidence are the levels of the owners of batches
// and of the evidence on a roll-out.
func callKinds(s Size, former, evidence ownership.Level) []callKind {
	connections := float64(time.Second) / float64(pingInterval) * pingBytes
	return []callKind{
		{"orders", orderBytes(), former},
		{"frees", releaseBytes(), former},
		{"updates of the store", updateBytes(s), ownership.LevelOf(ownership.StoreUpdates)},
		{"permits", permitBytes(), ownership.LevelOf(ownership.RatePermits)},
		{"reports on a roll-out", reportBytes(s), evidence},
		{"keep-alives", ownersCalled * connections, former},
	}
}

// otherRegionPart is the part of the nodes that are in another region than the owner, at the owner's
// level.
func otherRegionPart(l ownership.Level, regions int) float64 {
	if l != ownership.Fleet {
		return 0
	}
	return 1 - 1/float64(regions)
}

// betweenRegions returns the bytes a second that a node exchanges with other regions, as the mean of
// all nodes and at a node that owns all shared work of its level. Spilling is left out.
func betweenRegions(s Size, regions int, former, evidence ownership.Level) (mean, owner float64) {
	for _, f := range callKinds(s, former, evidence) {
		// Each byte is sent by one node and received by another.
		mean += 2 * f.bytes * otherRegionPart(f.level, regions)
		owner += f.bytes * otherRegionPart(f.level, regions) * float64(s.Hosts)
	}
	return mean, owner
}

// trafficMeasures are the bytes that nodes exchange, by kind and by the levels of owners.
func trafficMeasures() []measure {
	const unit = "B/s"
	var out []measure
	for i, f := range callKinds(Size{Hosts: 1, Targets: 1}, ownership.Region, ownership.Region) {
		out = append(out, measure{"between nodes: " + f.name, unit, "each node, sent and received", func(s Size) Figure {
			return Figure{Value: 2 * callKinds(s, ownership.Region, ownership.Region)[i].bytes}
		}})
	}
	out = append(out, measure{"between nodes: all of these", unit, "each node, sent and received", func(s Size) Figure {
		sum := 0.0
		for _, f := range callKinds(s, ownership.Region, ownership.Region) {
			sum += 2 * f.bytes
		}
		return Figure{Value: math.Round(sum)}
	}})
	for _, level := range []ownership.Level{ownership.Fleet, ownership.Region} {
		for regions := 1; regions <= mostRegions; regions++ {
			out = append(out, measure{fmt.Sprintf("between %d regions, owner of the %s", regions, level), unit, "mean of all nodes", func(s Size) Figure {
				mean, _ := betweenRegions(s, regions, level, level)
				return Figure{Value: mean}
			}})
		}
		out = append(out, measure{fmt.Sprintf("between %d regions, owner of the %s", mostRegions, level), unit, "owner of all", func(s Size) Figure {
			_, owner := betweenRegions(s, mostRegions, level, level)
			return Figure{Value: math.Round(owner)}
		}})
	}
	return out
}
