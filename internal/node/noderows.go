package node

import (
	"context"
	"encoding/json"

	"topazmoor/internal/store"
)

// nodeRow is a row of the node table.
type nodeRow struct {
	Addr        string `json:"addr"`
	Incarnation uint64 `json:"incarnation"`
}

// enter writes this node's row. A repeat is harmless: the row is this
// process's own.
func (p *peers) enter(ctx context.Context) bool {
	self := p.runner.Self()
	value, err := json.Marshal(nodeRow{Addr: self.Addr, Incarnation: self.Incarnation})
	if err != nil {
		return false
	}
	w := store.Write{Table: nodeTable, Key: self.Name, Value: value}
	_, err = p.n.env.Store.Commit(ctx, store.Tx{Writes: []store.Write{w}})
	return err == nil
}

// leave removes the row at a planned stop, best effort.
func (p *peers) leave(ctx context.Context) {
	p.runner.Leave()
	w := store.Write{Table: nodeTable, Key: p.n.s.Node.Name, Delete: true}
	if _, err := p.n.env.Store.Commit(ctx, store.Tx{Writes: []store.Write{w}}); err != nil {
		p.n.log.Warn("node row not removed", "err", err)
	}
}

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
