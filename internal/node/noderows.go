package node

import (
	"context"
	"encoding/json"

	"topazmoor/internal/store"
)

// nodeRow is the value of a row of the node table; its key is the node name.
type nodeRow struct {
	Addr        string `json:"addr"`
	Incarnation uint64 `json:"incarnation"`
}

// register writes this node's row and reports whether the write succeeded. Repeating
// the write is harmless: the row belongs to this process.
func (p *peers) register(ctx context.Context) bool {
	self := p.runner.Self()
	value, err := json.Marshal(nodeRow{Addr: self.Addr, Incarnation: self.Incarnation})
	if err != nil {
		return false
	}
	w := store.Write{Table: nodeTable, Key: self.Name, Value: value}
	_, err = p.n.env.Store.Commit(ctx, store.Tx{Writes: []store.Write{w}})
	return err == nil
}

// deregister announces the planned stop to the other members and deletes this node's
// row. A failed deletion is only logged.
func (p *peers) deregister(ctx context.Context) {
	p.runner.Leave()
	w := store.Write{Table: nodeTable, Key: p.n.s.Node.Name, Delete: true}
	if _, err := p.n.env.Store.Commit(ctx, store.Tx{Writes: []store.Write{w}}); err != nil {
		p.n.log.Warn("node row not removed", "err", err)
	}
}

// readSeeds sets the membership seeds to the configured seeds and the addresses of
// the other nodes in the node table. It reports whether the table was read.
func (p *peers) readSeeds(ctx context.Context) bool {
	rows, err := p.n.env.Store.Scan(ctx, nodeTable, "", "", nodeListLimit)
	if err != nil {
		return false
	}
	seeds := append([]string(nil), p.n.s.Peers.Seeds...)
	for _, row := range rows {
		var nr nodeRow
		if json.Unmarshal(row.Value, &nr) == nil && row.Key != p.n.s.Node.Name {
			seeds = append(seeds, nr.Addr)
		}
	}
	p.runner.SetSeeds(seeds)
	return true
}
