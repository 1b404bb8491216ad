package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	"topazmoor/internal/store"
	"topazmoor/platform/standin"
)

const (
	// portCallers, portReady and portPeers are the ports of each node; nodes differ by their addresses.
	portCallers = 8000
	portReady   = 8001
	portPeers   = 8002
	// storeAnswer is the time of an answer of the store, as the sheets give it.
	storeAnswer = 4 * time.Millisecond
	// readyTimeout bounds the wait for the nodes at the start of a case.
	readyTimeout = 20 * time.Second
	// zone is the only zone, host the host of all routes, key the key of the only tenant.
	zone = "hall-a"
	host = "port.example"
	key  = "9dnn2ctnfzs989anu6ws"
)

// world is a small deployment on loopback: the store, servers, and nodes as separate processes.
type world struct {
	dir   string
	store *store.Memory
	nodes []*node
	rec   *record
	close []func()
}

// newWorld starts the store, with a temporary folder for settings and logs.
func newWorld(rec *record) (*world, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	w := &world{dir: dir, store: store.NewMemory(), rec: rec}
	w.setStoreAnswer(storeAnswer)
	return w, nil
}

// end kills the nodes and stops the stand-ins.
func (w *world) end() {
	for _, n := range w.nodes {
		n.kill()
		n.log.Close()
	}
	for _, stop := range w.close {
		stop()
	}
	if os.Getenv("KEEP") == "" {
		if err := os.RemoveAll(w.dir); err != nil {
			w.rec.logf("temporary folder not removed: %v", err)
		}
	}
}

// setStoreAnswer sets how long the store takes for an answer.
func (w *world) setStoreAnswer(d time.Duration) { w.store.SetFaults(store.Faults{Delay: d}) }

// listen serves a handler on a free port of loopback and returns its address.
func (w *world) listen(h http.Handler) (string, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	srv := &http.Server{Handler: h, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = srv.Serve(ln) }()
	w.close = append(w.close, func() { srv.Close() })
	return ln.Addr().String(), nil
}

// putConfig writes the operator's configuration.
func (w *world) putConfig(config map[string]any) error {
	value, err := json.Marshal(config)
	if err != nil {
		return err
	}
	_, err = w.store.Commit(context.Background(), store.Tx{Writes: []store.Write{{Table: "op", Key: "config", Value: value}}})
	return err
}

// addServer starts a server and lists it in the store.
func (w *world) addServer(service string, slots int, s *standin.Server) error {
	addr, err := w.listen(s)
	if err != nil {
		return err
	}
	s.Addr = addr
	w.store.SetHost(store.Host{ID: s.ID, Addr: addr, Pool: service, DataCentre: zone, Version: s.Version, Slots: slots, State: store.Live, Born: time.Now().UnixMilli()})
	return nil
}

// node is one entry node.
type node struct {
	name, ip string
	settings string
	log      *os.File
	cmd      *exec.Cmd
	ended    chan struct{}
}

// nodeIP returns an address of loopback for a node that no other run uses.
func nodeIP(i int) string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 50+pid%50, 1+pid/50%250, i+1)
}

// addNodes starts n nodes, as the deploy file does, and waits until they are ready.
func (w *world) addNodes(n int) error {
	storeAddr, err := w.listen(standin.NewStore(w.store))
	if err != nil {
		return err
	}
	for i := range n {
		node := &node{name: fmt.Sprintf("front-%d", i+1), ip: nodeIP(i)}
		node.settings = filepath.Join(w.dir, node.name+".toml")
		if err := os.WriteFile(node.settings, []byte(node.settingsText(storeAddr)), 0o600); err != nil {
			return err
		}
		if node.log, err = os.Create(filepath.Join(w.dir, node.name+".log")); err != nil {
			return err
		}
		w.nodes = append(w.nodes, node)
	}
	for _, node := range w.nodes {
		if err := node.start(); err != nil {
			return err
		}
	}
	for _, node := range w.nodes {
		if !node.waitReady(readyTimeout) {
			return fmt.Errorf("%s is not ready", node.name)
		}
	}
	return nil
}

// settingsText returns the platform's settings file of a node.
func (n *node) settingsText(storeAddr string) string {
	return fmt.Sprintf(`node = %q
role = "entry"
machineClass = "front"
serves = ["front"]
ip = %q
zone = %q
region = "sul"
portRange = [%d, %d]
bootstrap = true
heartbeatMs = 1200
[zones]
%s = "sul"
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
drainMs = 2000
graceS = 8
stableMs = 3000
configMs = 2000
retryBudgetRatio = 0.2
budgetWindowS = 10
budgetSlack = 52
[platform]
address = %q
writesPerS = 400
readsPerS = 2000
`, n.name, n.ip, zone, portPeers, portPeers+9, zone, n.ip, portCallers, n.ip, portReady, storeAddr)
}

// start starts the node's process by the command of the deploy file.
func (n *node) start() error {
	n.cmd = exec.Command("target/topazmoor", "serve", "--platform")
	n.cmd.Env = append(os.Environ(), "TOPAZMOOR_SETTINGS="+n.settings)
	n.cmd.Stdout, n.cmd.Stderr = n.log, n.log
	n.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := n.cmd.Start(); err != nil {
		return err
	}
	n.ended = make(chan struct{})
	cmd, ended := n.cmd, n.ended
	go func() {
		// A killed process returns an error.
		_ = cmd.Wait()
		close(ended)
	}()
	return nil
}

// kill ends the process with SIGKILL and waits for its end.
func (n *node) kill() {
	if n.cmd == nil || n.cmd.Process == nil {
		return
	}
	// It may have ended.
	_ = n.cmd.Process.Kill()
	<-n.ended
}

func (n *node) callerAddr() string { return fmt.Sprintf("%s:%d", n.ip, portCallers) }

// ready reports whether the node says that it takes callers.
func (n *node) ready() bool {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get(fmt.Sprintf("http://%s:%d/readyz", n.ip, portReady))
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// waitReady waits until the node takes callers.
func (n *node) waitReady(most time.Duration) bool {
	for end := time.Now().Add(most); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if n.ready() {
			return true
		}
	}
	return false
}
