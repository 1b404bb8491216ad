package entry

import (
	"log/slog"
	"net"
	"time"

	"topazmoor/internal/httpconn"
	"topazmoor/internal/mechanism"
	"topazmoor/internal/passthrough"
	"topazmoor/internal/region"
	"topazmoor/internal/rollout"
	"topazmoor/internal/routes"
	"topazmoor/internal/stagebatch"
	"topazmoor/internal/store"
	"topazmoor/internal/suspend"
	"topazmoor/internal/targetlink"
	"topazmoor/internal/targets"
)

// Settings are the settings of an entry node, read at its start.
type Settings struct {
	Node, DataCentre, Region string
	// Regions maps data centres to regions.
	Regions region.Map
	// Crossing is the cost of serving a request in another region. The default is
	// region.DefaultCrossing; it has no effect with a single region.
	Crossing region.Crossing
	// ListenCallers is for callers, ListenReady for the balancer's readiness checks and for
	// metrics, and ListenPeers for calls of other nodes; all are IP:port.
	ListenCallers, ListenReady, ListenPeers string
	// MemoryBytes is the memory limit of the process; 0 for none.
	MemoryBytes int64
	// Descriptors is the limit of the process on open files and sockets; 0 for none.
	Descriptors int
	// Capacity is the capacity of the process for the batches that it forms on behalf of all
	// nodes.
	Capacity stagebatch.Capacity
	// StopGrace is the time between the stop signal and the end of the process.
	StopGrace time.Duration
	Repeats   RepeatBudget
	// Rollouts bounds the traffic of versions that are not known to be good.
	Rollouts rollout.Bounds
	// Off holds the mechanisms that an experiment disables.
	Off mechanism.Set
}

// crossing returns the cost of another region, the default if none is set.
func (s Settings) crossing() region.Crossing {
	if s.Crossing == (region.Crossing{}) {
		return region.DefaultCrossing
	}
	return s.Crossing
}

// RepeatBudget bounds repeated sends, summed over all nodes.
type RepeatBudget struct {
	// For each service and Window, the budget is Ratio times the number of requests, plus Fixed.
	Ratio, Fixed float64
	Window       time.Duration
}

// Sources names the store tables that a node follows, and decodes their rows.
type Sources struct {
	ConfigTable string
	// Config returns nil when there is no configuration yet.
	Config func(rows map[string]store.Row) (*routes.Config, error)
	// Drained decodes from the same table which data centres are drained.
	Drained func(rows map[string]store.Row) map[string]bool
	// Rollouts decodes from the same table the roll-outs of versions that the operator ordered.
	// RolloutState encodes the row that shows the operator the state of one.
	Rollouts     func(rows map[string]store.Row) []rollout.Order
	RolloutState func(r rollout.Record) (store.Write, error)
	TargetTable  string
	// Target decodes one row. It fails for a row that describes no usable target.
	Target func(r store.Row) (targets.Target, error)
}

// Env holds the external dependencies of a node; tests replace them.
type Env struct {
	Dial   httpconn.Dial
	Listen func(addr string) (net.Listener, error)
	Store  store.Store
	// Links connects to targets, on behalf of Conns.
	Links  *targetlink.Dialer
	Conns  *httpconn.Pool
	Wire   passthrough.Wire
	Worker stagebatch.Worker
	Sources
	// BootAhead returns how far the kernel's boot clock is ahead of its monotonic clock; nil
	// selects the kernel's clocks.
	BootAhead suspend.Read
	// Reload reads the settings again.
	Reload func() (Settings, error)
	// DroppedLogLines returns the number of dropped log lines; nil if no lines are dropped.
	DroppedLogLines func() int64
	Log             *slog.Logger
}
