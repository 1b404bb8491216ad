package entry

import (
	"topazmoor/internal/targets"
	"topazmoor/internal/watch"
)

// applyTargets applies changes of the target table.
func (n *Node) applyTargets(v watch.View) {
	n.relayServer.Wake()
	changes, gone := n.targets.Change(n.readTargets(v), v.RestoredAt)
	n.streams.History.TargetsChanged()
	for _, addr := range gone {
		n.env.Conns.CloseIdle(addr)
	}
	for _, c := range changes {
		n.log.Info("target "+c.Kind, "target", c.ID, "addr", c.Addr, "service", c.Service, "row_version", v.Version)
	}
}

// readTargets decodes the target rows that changed.
func (n *Node) readTargets(v watch.View) targets.ListUpdate {
	var news targets.ListUpdate
	for _, key := range v.Changed {
		row, listed := v.Rows[key]
		if !listed {
			n.unreadable.remove(key)
			news.Removed = append(news.Removed, key)
			continue
		}
		t, err := n.env.Sources.Target(row)
		if err != nil {
			n.unreadable.add(row, err, n.log)
			news.Removed = append(news.Removed, key)
			continue
		}
		n.unreadable.remove(key)
		news.Updated = append(news.Updated, t)
	}
	return news
}
