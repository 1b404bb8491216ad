package peer

import (
	"net"
	"slices"
	"time"
)

// handshakePatience is how long a handshake is safe from being ended in favour of a new one.
const handshakePatience = 500 * time.Millisecond

// handshakes are the connections that are not authenticated yet, the oldest first: who opens them and says nothing must
// not keep the nodes out.
type handshakes []pendingHandshake

type pendingHandshake struct {
	conn  net.Conn
	began time.Time
}

// add adds a connection. If there are most of them, it closes the oldest; it returns false if that is too young.
func (h *handshakes) add(c net.Conn, most int, now time.Time) bool {
	if len(*h) >= most {
		oldest := (*h)[0]
		if now.Sub(oldest.began) < handshakePatience {
			return false
		}
		oldest.conn.Close()
		h.remove(oldest.conn)
	}
	*h = append(*h, pendingHandshake{c, now})
	return true
}

// remove removes a connection, if it is there.
func (h *handshakes) remove(c net.Conn) {
	*h = slices.DeleteFunc(*h, func(p pendingHandshake) bool { return p.conn == c })
}
