package traffic

import (
	"sync"
	"sync/atomic"
)

// TargetCounter counts the bytes that a node exchanges with targets, by service. The zero
// TargetCounter is empty. All methods may be called concurrently.
type TargetCounter struct {
	mu       sync.Mutex
	services map[string]*ServiceCounter
}

// ServiceCounter counts the bytes of the targets of one service.
type ServiceCounter struct {
	bytes [scopes][directions]atomic.Int64
}

// Service returns the counter of a service. The services are those of the configuration, so
// their number is bounded.
func (c *TargetCounter) Service(name string) *ServiceCounter {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.services[name]
	if s == nil {
		s = &ServiceCounter{}
		if c.services == nil {
			c.services = make(map[string]*ServiceCounter)
		}
		c.services[name] = s
	}
	return s
}

// ServiceTotal is the number of bytes of one service, scope and direction since the start.
type ServiceTotal struct {
	Service   string
	Scope     Scope
	Direction Direction
	Bytes     int64
}

// Totals returns all totals that are not zero.
func (c *TargetCounter) Totals() []ServiceTotal {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []ServiceTotal
	for name, s := range c.services {
		for scope := range scopes {
			for d := range directions {
				if n := s.bytes[scope][d].Load(); n > 0 {
					out = append(out, ServiceTotal{Service: name, Scope: scope, Direction: d, Bytes: n})
				}
			}
		}
	}
	return out
}

// TargetLink counts the bytes of one connection to a target. It implements httpconn.Meter. A nil
// TargetLink counts nothing.
type TargetLink struct {
	counter *ServiceCounter
	scope   Scope
}

// Link returns a TargetLink for a connection to a target at some distance.
func (c *TargetCounter) Link(service string, s Scope) *TargetLink {
	return &TargetLink{counter: c.Service(service), scope: s}
}

// Sent counts bytes sent to the target.
func (l *TargetLink) Sent(bytes int) {
	if l != nil {
		l.counter.bytes[l.scope][Sent].Add(int64(bytes))
	}
}

// Received counts bytes received from the target.
func (l *TargetLink) Received(bytes int) {
	if l != nil {
		l.counter.bytes[l.scope][Received].Add(int64(bytes))
	}
}
