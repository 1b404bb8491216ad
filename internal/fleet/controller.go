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
	// orderTable holds the last order of each engine.
	orderTable = "order"
	// PathOrders is the path of an engine's order interface.
	PathOrders = "/v1/orders"
	// orderTimeout bounds the sending of one order.
	orderTimeout = 3 * time.Second
	// resend is the time between two sends of an order that is not done.
	resend = 15 * time.Second
	// scanLimit bounds one read of the orders.
	scanLimit = 10_000
)

// EngineOrder is the body of an order to an engine.
type EngineOrder struct {
	// Fencing grows with each controller; an engine may refuse a lower one.
	Fencing int64    `json:"fencing"`
	Models  []string `json:"models"`
}

// Controller is the task of the control shard that balances models. It
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
	// Epoch returns the epoch under which the shard is owned.
	Epoch  func() int64
	Client *http.Client
	Limits Limits
	Log    *slog.Logger

	mem  Memory
	sent map[string]time.Time
}

// Step implements control.Task: it sends the orders that are stored and not yet
// done, and decides new ones, which the shard commits under its fence.
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
		c.Log.Info("order given", "engine", o.Engine, "models", o.Models, "reason", o.Reason)
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

// send repeats each stored order until the host list shows that it is done.
func (c *Controller) send(ctx context.Context, engines []Engine, orders map[string]Order) {
	if c.sent == nil {
		c.sent = make(map[string]time.Time)
	}
	for _, e := range engines {
		o, ok := orders[e.ID]
		if !ok || slices.Equal(o.Models, e.Models) || time.Since(c.sent[e.ID]) < resend {
			continue
		}
		c.sent[e.ID] = time.Now()
		// The order is this controller's now, whoever decided it.
		o.Fencing = max(o.Fencing, c.Epoch())
		if err := c.post(ctx, e, o); err != nil {
			c.Log.Warn("order not taken yet", "engine", e.ID, "models", o.Models, "err", err)
		}
	}
}

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
	_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, 1<<10))
	if resp.StatusCode != http.StatusOK {
		return eris.Errorf("engine answered %d", resp.StatusCode)
	}
	return nil
}
