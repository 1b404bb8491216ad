package main

import (
	"io"
	"net"
	"sync/atomic"
)

// vip is the platform's address for clients: it forwards each new connection to a ready node. A connection to a node
// without power hangs.
type vip struct {
	w    *world
	ln   net.Listener
	next atomic.Int64
	// dark is set while the nodes have no power.
	dark atomic.Bool
}

func (w *world) newVIP() (*vip, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	v := &vip{w: w, ln: ln}
	w.close = append(w.close, func() { ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go v.forward(c)
		}
	}()
	return v, nil
}

// forward passes bytes on between a client and a node.
func (v *vip) forward(client net.Conn) {
	defer client.Close()
	start := int(v.next.Add(1))
	var n *node
	for i := range v.w.nodes {
		if c := v.w.nodes[(start+i)%len(v.w.nodes)]; n == nil && c.ready() {
			n = c
		}
	}
	if n == nil {
		return
	}
	server, err := net.Dial("tcp", n.callerAddr())
	if err != nil {
		return
	}
	left := make(chan struct{})
	go func() {
		defer close(left)
		// An error means that one end is gone.
		_, _ = io.Copy(server, client)
		server.Close()
	}()
	_, _ = io.Copy(client, server)
	if v.dark.Load() {
		// Nothing comes from a machine without power, not even the end of the connection.
		<-left
	}
}
