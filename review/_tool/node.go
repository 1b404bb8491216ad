package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

const (
	// program and its arguments are those of the deploy file.
	program = "target/topazmoor"
	// readyTimeout bounds the start of a node.
	readyTimeout = 15 * time.Second
	// readyInterval is the interval between two checks of whether a node is ready.
	readyInterval = 100 * time.Millisecond
)

var programArgs = []string{"serve", "--platform"}

// The ports of each node; each has a loopback address of its own.
const (
	portCallers = 8000
	portReady   = 8001
	portPeers   = 8002
)

// node is one entry node, a process of its own.
type node struct {
	name, ip, zone string
	// toStore is on the way to the store.
	toStore  *proxy
	settings string
	log      *os.File
	proc     *os.Process
	// front is where callers reach the node, if not at its own address.
	front string

	mu    sync.Mutex
	ended chan struct{}
}

// nodeIP returns a loopback address that no other run uses at the same time.
func nodeIP(i int) string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 64+pid%128, 1+pid/128%250, i+1)
}

// newNode writes the settings of a node whose calls to the store go through a proxy.
func newNode(e *environment, i int, zone, storeAddr string, seen func([]byte)) (*node, error) {
	n := &node{name: fmt.Sprintf("front-%s-%d", zone, i+1), ip: nodeIP(i), zone: zone}
	var err error
	if n.toStore, err = newProxy("127.0.0.1:0", storeAddr, seen); err != nil {
		return nil, err
	}
	n.settings = filepath.Join(e.dir, n.name+".toml")
	if err = os.WriteFile(n.settings, []byte(n.settingsText()), 0o600); err != nil {
		return nil, err
	}
	n.log, err = os.Create(filepath.Join(e.dir, n.name+".log"))
	return n, err
}

// settingsText returns the settings of a node as the platform writes them. The bounds are those of
// the installation ras-despacho.
func (n *node) settingsText() string {
	return fmt.Sprintf(`
node = %q
role = "entry"
machineClass = "front"
serves = ["front"]
ip = %q
zone = %q
region = "brasil-sul"
portRange = [%d, %d]
bootstrap = true
[zones]
hall-rg = "brasil-sul"
hall-pgua = "brasil-sul"
hall-itj = "brasil-sul"
hall-poa = "brasil-sul"
[listen]
front = "%s:%d"
ready = "%s:%d"
[limits]
cpuShare = 0.4
cores = 1
memoryMb = 284
maxFds = 4100
linkMbps = 1000.0
[bounds]
stableMs = 3000
drainMs = 2000
graceS = 8
configMs = 2000
retryBudgetRatio = 0.2
budgetWindowS = 10
budgetSlack = 52
[platform]
address = %q
`, n.name, n.ip, n.zone, portPeers, portPeers+8, n.ip, portCallers, n.ip, portReady, n.toStore.addr())
}

// start starts the process.
func (n *node) start() error {
	proc, err := os.StartProcess(program, append([]string{program}, programArgs...), &os.ProcAttr{
		Env:   []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "TOPAZMOOR_SETTINGS=" + n.settings},
		Files: []*os.File{nil, n.log, n.log},
	})
	if err != nil {
		return err
	}
	n.mu.Lock()
	n.proc, n.ended = proc, make(chan struct{})
	ended := n.ended
	n.mu.Unlock()
	go func() {
		// The exit status does not matter: the case ends the process.
		_, _ = proc.Wait()
		close(ended)
	}()
	return nil
}

// kill ends the process with SIGKILL, if it runs, and waits for its end.
func (n *node) kill() {
	n.mu.Lock()
	proc, ended := n.proc, n.ended
	n.mu.Unlock()
	if proc == nil {
		return
	}
	// The process may have ended.
	_ = proc.Signal(syscall.SIGKILL)
	<-ended
}

// callers returns the address that takes callers.
func (n *node) callers() string {
	if n.front != "" {
		return n.front
	}
	return fmt.Sprintf("%s:%d", n.ip, portCallers)
}

// ready reports whether the node says that it takes callers.
func (n *node) ready(ctx context.Context) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("http://%s:%d/readyz", n.ip, portReady), http.NoBody)
	if err != nil {
		return false
	}
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// fleet is all entry nodes.
type fleet []*node

// startFleet starts a node in each of the zones, in order, and waits until all are ready.
func startFleet(ctx context.Context, e *environment, zones []string, storeAddr string, seen func(i int, sent []byte)) (fleet, error) {
	var out fleet
	for i, zone := range zones {
		n, err := newNode(e, i, zone, storeAddr, func(sent []byte) { seen(i, sent) })
		if err != nil {
			return out, err
		}
		out = append(out, n)
		if err := portsFree(n.ip); err != nil {
			return out, err
		}
		if err := n.start(); err != nil {
			return out, err
		}
	}
	for _, n := range out {
		if err := n.awaitReady(ctx); err != nil {
			return out, err
		}
		e.record.write("node %s ready at %s, zone %s, process %d", n.name, n.callers(), n.zone, n.proc.Pid)
	}
	return out, nil
}

// portsFree fails if one of the ports of a node is in use.
func portsFree(ip string) error {
	for _, port := range []int{portCallers, portReady, portPeers} {
		ln, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, port))
		if err != nil {
			return err
		}
		if err := ln.Close(); err != nil {
			return err
		}
	}
	return nil
}

func (n *node) awaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for !n.ready(ctx) {
		if !sleep(ctx, readyInterval) {
			return fmt.Errorf("node %s is not ready: %w", n.name, ctx.Err())
		}
	}
	return nil
}

// stop ends all processes.
func (f fleet) stop() error {
	var errs []error
	for _, n := range f {
		n.kill()
		n.toStore.close()
		errs = append(errs, n.log.Close())
	}
	return errors.Join(errs...)
}

// sleep waits for d and reports whether ctx is still active.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
