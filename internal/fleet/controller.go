package fleet

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"log/slog"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"topazmoor/internal/control"
	"topazmoor/internal/store"
)

const (
	// orderTable is the store table that holds the last order of each engine.
	orderTable = "order"
	// PathOrders is the URL path at which an engine accepts orders.
	PathOrders = "/v1/orders"
	// orderTimeout bounds the HTTP request that sends one order.
	orderTimeout = 3 * time.Second
	// resendInterval is the minimum time between two sends of an order that the
	// engine has not carried out.
	resendInterval = 15 * time.Second
	// maxOrderReply bounds what is read of the answer to an order, in bytes.
	maxOrderReply = 1 << 10
	// scanLimit is the maximum number of orders that are read.
	scanLimit = 10_000
)

// EngineOrder is the JSON body of an order sent to an engine.
type EngineOrder struct {
	// Fencing is the epoch of the controller and increases with each new one; an
	// engine may refuse an order whose number is lower than one that it received.
	Fencing int64    `json:"fencing"`
	Models  []string `json:"models"`
}

// Controller is the control-shard task that balances engines between models. It
// implements control.Task.
type Controller struct {
	Tables store.Tables
	// Engines returns the engines of the host list, and Demand the demand over
	// all nodes.
	Engines func() []Engine
	Demand  func(ctx context.Context) (Demand, error)
	// Node is the name of this node and NewID returns unique IDs, for the audit
	// trail.
	Node  string
	NewID func() string
	// Epoch returns the epoch under which this node owns the shard.
	Epoch  func() int64
	Client *http.Client
	Limits Limits
	Log    *slog.Logger

	mem Memory
	// lastSent is the time of the last send, by engine ID.
	lastSent map[string]time.Time
}

// Step implements control.Task. It sends the stored orders that engines have not
// carried out yet, and returns the writes of new orders, which the shard commits
// under its fence.
func (c *Controller) Step(ctx context.Context) ([]store.Condition, []store.Write, error) {
	engines := c.Engines()
	orders, err := c.orders(ctx)
	if err != nil {
		return nil, nil, err
	}
	c.send(ctx, engines, orders)
	demand, err := c.Demand(ctx)
	if err != nil {
		return nil, nil, err
	}
	var writes []store.Write
	for _, o := range Decide(time.Now().UTC(), c.Limits, engines, demand, orders, &c.mem) {
		o.Fencing = c.Epoch()
		value, err := json.Marshal(o)
		if err != nil {
			return nil, nil, eris.Wrap(err, "encode order")
		}
		c.Log.Info("engine order decided", "engine", o.Engine, "models", o.Models, "reason", o.Reason)
		event := control.Event{
			At: o.At, Node: c.Node, Kind: control.Ordered, Object: "engine/" + o.Engine,
			Detail: "hold " + strings.Join(o.Models, ", ") + ": " + o.Reason,
		}
		record, err := event.Write(c.NewID())
		if err != nil {
			return nil, nil, err
		}
		writes = append(writes, store.Write{Table: orderTable, Key: o.Engine, Value: value}, record)
	}
	return nil, writes, nil
}

// orders returns the last order of each engine from the store.
func (c *Controller) orders(ctx context.Context) (map[string]Order, error) {
	rows, err := c.Tables.Scan(ctx, orderTable, "", "", scanLimit)
	if err != nil {
		return nil, err
	}
	out := make(map[string]Order, len(rows))
	for _, r := range rows {
		var o Order
		if err := json.Unmarshal(r.Value, &o); err != nil {
			return nil, eris.Wrapf(err, "decode order %s", r.Key)
		}
		out[o.Engine] = o
	}
	return out, nil
}

// send sends each stored order whose models differ from those that the host list
// shows for the engine, at most once per resendInterval.
func (c *Controller) send(ctx context.Context, engines []Engine, orders map[string]Order) {
	if c.lastSent == nil {
		c.lastSent = make(map[string]time.Time)
	}
	for _, e := range engines {
		o, ok := orders[e.ID]
		if !ok || slices.Equal(o.Models, e.Models) || time.Since(c.lastSent[e.ID]) < resendInterval {
			continue
		}
		c.lastSent[e.ID] = time.Now()
		// An earlier controller may have decided the order; it is sent under the
		// epoch of this one.
		o.Fencing = max(o.Fencing, c.Epoch())
		if err := c.post(ctx, e, o); err != nil {
			c.Log.Warn("send engine order failed", "engine", e.ID, "models", o.Models, "err", err)
		}
	}
}

// post sends one order to an engine.
func (c *Controller) post(ctx context.Context, e Engine, o Order) error {
	body, err := json.Marshal(EngineOrder{Fencing: o.Fencing, Models: o.Models})
	if err != nil {
		return eris.Wrap(err, "encode order")
	}
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+e.Addr+PathOrders, bytes.NewReader(body))
	if err != nil {
		return eris.Wrap(err, "build order")
	}
	resp, err := c.Client.Do(req)
	if err != nil {
		return eris.Wrap(err, "send order")
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxOrderReply)); err != nil {
		return eris.Wrap(err, "answer to order")
	}
	if resp.StatusCode != http.StatusOK {
		return eris.Errorf("engine answered %d", resp.StatusCode)
	}
	return nil
}
