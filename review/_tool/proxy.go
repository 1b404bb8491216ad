package main

import (
	"net"
	"sync"
)

// proxy passes the connections of one node to the store on, until it is silenced: from then on it
// passes no bytes in either direction and answers nothing, as a partition does.
type proxy struct {
	ln     net.Listener
	target string
	// seen, if set, gets the bytes that the node sends.
	seen func([]byte)

	mu     sync.Mutex
	silent bool
	// resumed is closed when the proxy passes bytes on again.
	resumed chan struct{}
	conns   map[net.Conn]bool
	closed  bool
}

func newProxy(addr, target string, seen func([]byte)) (*proxy, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	p := &proxy{ln: ln, target: target, seen: seen, conns: make(map[net.Conn]bool)}
	go p.accept()
	return p, nil
}

func (p *proxy) addr() string { return p.ln.Addr().String() }

func (p *proxy) accept() {
	for {
		c, err := p.ln.Accept()
		if err != nil {
			return
		}
		go p.pass(c)
	}
}

// pass connects a connection of the node with the store.
func (p *proxy) pass(near net.Conn) {
	if !p.track(near) {
		near.Close()
		return
	}
	p.await()
	far, err := net.Dial("tcp", p.target)
	if err != nil {
		near.Close()
		return
	}
	if !p.track(far) {
		near.Close()
		far.Close()
		return
	}
	go p.copy(near, far, nil)
	p.copy(far, near, p.seen)
}

// copy passes bytes in one direction until either end closes.
func (p *proxy) copy(to, from net.Conn, seen func([]byte)) {
	defer to.Close()
	defer from.Close()
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		p.await()
		if seen != nil && n > 0 {
			seen(buf[:n])
		}
		if _, werr := to.Write(buf[:n]); werr != nil || err != nil {
			return
		}
	}
}

// await waits while the proxy is silent.
func (p *proxy) await() {
	p.mu.Lock()
	resumed := p.resumed
	silent := p.silent
	p.mu.Unlock()
	if silent {
		<-resumed
	}
}

func (p *proxy) track(c net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conns[c] = true
	return !p.closed
}

// silence makes the proxy pass nothing on.
func (p *proxy) silence() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.silent {
		p.silent, p.resumed = true, make(chan struct{})
	}
}

// resume ends the silence. What was held up is passed on, as TCP does after a short partition.
func (p *proxy) resume() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.silent {
		p.silent = false
		close(p.resumed)
	}
}

func (p *proxy) close() {
	p.ln.Close()
	p.resume()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for c := range p.conns {
		c.Close()
	}
}
