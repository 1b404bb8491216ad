// Package settings defines the settings that a process reads at its start: its
// identity, its listening addresses, the address of the platform, and the
// configuration of the pools of targets. Configuration that changes at run time
// (templates, client accounts, drains) is in the catalog.
//
// The field comments are the reference manual; docs/examples/settings.hujson
// shows every setting.
package settings

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"maps"
	"math"
	"net/netip"
	"os"
	"runtime/debug"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"topazmoor/internal/region"
	"topazmoor/internal/strictjson"
)

// Duration is a time.Duration written as a string such as "9s".
type Duration = strictjson.Duration

// Settings are the settings of one node.
type Settings struct {
	// Node identifies this process.
	Node Node `json:"node" need:"true"`
	// Listen configures the addresses on which the node listens.
	Listen Listen `json:"listen" need:"true"`
	// Platform locates the table service, object store and host list.
	Platform Platform `json:"platform" need:"true"`
	// Peers configures the connections between nodes.
	Peers Peers `json:"peers" need:"true"`
	// Operators may use the administration API.
	Operators []Operator `json:"operators"`
	// Pools lists the pools of targets and their configuration.
	Pools []Pool `json:"pools" need:"true"`
	// Regions describes the regions of the deployment; leave it out if there is only one.
	Regions Regions `json:"regions"`
	// Limits bounds the resources that callers can occupy on the node.
	Limits Limits `json:"limits"`
	// Stop configures the graceful shutdown.
	Stop Stop `json:"stop"`
	// Ledger configures claims of idempotency keys.
	Ledger Ledger `json:"ledger"`
	// Log configures the log.
	Log Log `json:"log"`
}

// Node identifies a process.
type Node struct {
	// Name is unique among the nodes.
	Name string `json:"name" need:"true"`
	// DataCentre is the data centre of the host; calls stay within it where possible.
	DataCentre string `json:"data_centre" need:"true"`
	// Region is the region of the data centre; empty if there is only one. With
	// regions.data_centres it may be left out.
	Region string `json:"region"`
}

// Regions describes the regions of a deployment.
type Regions struct {
	// DataCentres gives the region of each data centre, those of the nodes and of the targets. A
	// request that is bound to regions is not served in a data centre that is not listed.
	DataCentres region.Map `json:"data_centres"`
	// RoundTrip is the additional time of a call to another region. Default 20ms.
	RoundTrip Duration `json:"round_trip"`
}

// Listen configures the listening addresses of a node.
type Listen struct {
	// Caller serves the caller API.
	Caller Listener `json:"caller" need:"true"`
	// Admin serves the administration API.
	Admin Listener `json:"admin" need:"true"`
	// Peer serves other nodes, over TCP and, on the same port, UDP. With TLS the
	// certificate must name the IP number, and client_ca_file must be the CA of
	// all nodes. Datagrams are authenticated but not encrypted.
	Peer Listener `json:"peer" need:"true"`
	// Observe serves metrics, health and readiness.
	Observe Listener `json:"observe" need:"true"`
}

// Listener is one listening address.
type Listener struct {
	// Addr is IP:port, such as "10.0.0.7:8080". Port 0 takes a free one.
	Addr string `json:"addr" need:"true"`
	// TLS secures the listener; leave it out for plain TCP.
	TLS *TLS `json:"tls"`
}

// TLS names the files of a certificate.
type TLS struct {
	// CertFile and KeyFile are PEM files.
	CertFile string `json:"cert_file" need:"true"`
	KeyFile  string `json:"key_file" need:"true"`
	// ClientCAFile, if set, is a PEM file of CA certificates; clients must present a
	// certificate signed by one of them.
	ClientCAFile string `json:"client_ca_file"`
}

// Platform locates the platform.
type Platform struct {
	// Addr is IP:port of the platform's HTTP interface.
	Addr string `json:"addr" need:"true"`
	// Timeout bounds each call to the platform. Default 2s.
	Timeout Duration `json:"timeout"`
	// ConfigPoll is the average interval between reads of the configuration's current revision.
	// Default 3s.
	ConfigPoll Duration `json:"config_poll"`
}

// Peers configures the connections between nodes.
type Peers struct {
	// Seeds are the peer addresses (IP:port) that a new node tries first.
	Seeds []string `json:"seeds"`
	// KeyFile holds the secret (32 bytes or more) that all nodes share and
	// authenticate each other with.
	KeyFile string `json:"key_file" need:"true"`
	// Interval is the time between two gossip rounds. Default 1s.
	Interval Duration `json:"interval"`
	// SuspectAfter is how long a peer stays suspect before it is considered failed.
	// A peer is suspect once it has not answered for four intervals. Default 5s.
	SuspectAfter Duration `json:"suspect_after"`
}

// Operator is a person or script that may use the administration API.
type Operator struct {
	// Name identifies the operator in the audit trail.
	Name string `json:"name" need:"true"`
	// TokenSHA256 is the SHA-256 of the token in hex; the token itself is
	// never stored. `topazmoor check --hash TOKEN` prints it.
	TokenSHA256 string `json:"token_sha256" need:"true"`
	// ReadOnly denies the operator all changes.
	ReadOnly bool `json:"read_only"`
}

// PoolKind is the protocol of the targets of a pool.
type PoolKind string

// The kinds of pools.
const (
	Encode   PoolKind = "encode"
	Retrieve PoolKind = "retrieve"
	Rerank   PoolKind = "rerank"
	Generate PoolKind = "generate"
	Service  PoolKind = "service"
)

// PoolKinds lists all kinds.
var PoolKinds = []PoolKind{Encode, Retrieve, Rerank, Generate, Service}

// Pool describes a pool of targets. Its members come from the host list.
type Pool struct {
	// Name is the pool's name in the host list.
	Name string `json:"name" need:"true"`
	// Kind is one of encode, retrieve, rerank, generate, service.
	Kind PoolKind `json:"kind" need:"true"`
	// Path is the URL path of calls to a target; only for kind service.
	// Default "/v1/call".
	Path string `json:"path"`
	// RefusalStatuses are the HTTP statuses by which a target of this pool
	// states that it did not start the call. Default 429. Add a status only if
	// the target documents this meaning: topazmoor reports such calls to callers
	// as "not run".
	RefusalStatuses []int `json:"refusal_statuses"`
	// EchoesIdentity states that targets return the Topazmoor-Attempt header of
	// the call, so that a misdirected answer is detected. Otherwise each call
	// takes a connection of its own. Default true.
	EchoesIdentity *bool `json:"echoes_identity"`
	// HonoursFencing states that targets refuse an order with an old fencing
	// number. Orders are safe without it too, but may be corrected later.
	HonoursFencing bool `json:"honours_fencing"`
	// Balance lets the engines of the pool be ordered to load other models when
	// one model lacks engines and another has free capacity. Default false.
	Balance bool `json:"balance"`
}

// Echoes returns EchoesIdentity or its default.
func (p Pool) Echoes() bool { return p.EchoesIdentity == nil || *p.EchoesIdentity }

// Limits bounds the resources that callers can occupy on a node.
type Limits struct {
	// MemoryBytes is the memory of the process. A fifth of it is for bodies and heads of all callers together;
	// further bodies are refused with status 503 and a delay. Default: the soft limit of the Go runtime (GOMEMLIMIT),
	// or 1 GiB if that is not set.
	MemoryBytes int64 `json:"memory_bytes"`
	// BodyBytes is the largest request body. Default 1 MiB.
	BodyBytes int64 `json:"body_bytes"`
	// ReadTimeout bounds the time to read one request's header and body.
	// Default 5s.
	ReadTimeout Duration `json:"read_timeout"`
	// Requests is the maximum number of requests that the node processes
	// concurrently; further ones are refused immediately. Default 4096.
	Requests int `json:"requests"`
	// Connections is the maximum number of open caller connections. Default 8192.
	Connections int `json:"connections"`
	// AnswerBytes is the largest answer of one stage. Default 8 MiB.
	AnswerBytes int64 `json:"answer_bytes"`
}

// Stop configures the graceful shutdown.
type Stop struct {
	// BalancerLag is how long the node continues to accept requests after it
	// reports that it is not ready, so that the load balancer can detect it. Default 3s.
	BalancerLag Duration `json:"balancer_lag"`
	// Drain bounds the wait for requests in flight. Default 30s.
	Drain Duration `json:"drain"`
}

// Ledger configures claims of idempotency keys.
type Ledger struct {
	// RepeatWindow is how long a request is recognised as the repetition of an earlier one
	// with the same idempotency key. Default 24h.
	RepeatWindow Duration `json:"repeat_window"`
	// CommitInterval is the minimum time between two grouped commits of one
	// node. Together with Committers it bounds the writes per second.
	// Default 40ms: with 8 committers at most 200 writes per second.
	CommitInterval Duration `json:"commit_interval"`
	// Committers is the maximum number of nodes that commit claims; the others send
	// theirs to one of them. Default 8.
	Committers int `json:"committers"`
	// TicketLife is how long a request ticket can be redeemed. Default 15m.
	TicketLife Duration `json:"ticket_life"`
}

// Log configures the log.
type Log struct {
	// Level is debug, info, warn or error. Default info.
	Level string `json:"level"`
	// Format is text or json. Default json.
	Format string `json:"format"`
}

// Parse reads settings from JSON with comments, sets the defaults and validates
// the result. For faulty settings the error is a strictjson.Problems with every fault.
func Parse(src []byte) (Settings, error) {
	var s Settings
	var probs strictjson.Problems
	if err := strictjson.Decode(src, &s); err != nil && !errors.As(err, &probs) {
		return Settings{}, err
	}
	s.SetDefaults()
	probs.Merge(s.validate())
	if err := probs.Err(); err != nil {
		return Settings{}, err
	}
	return s, nil
}

// Load reads settings from a file.
func Load(path string) (Settings, error) {
	src, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, eris.Wrap(err, "read settings")
	}
	return Parse(src)
}

// defaultTo sets *v to d if it is the zero value.
func defaultTo[T comparable](v *T, d T) {
	var zero T
	if *v == zero {
		*v = d
	}
}

// defaultMemory returns the soft limit of the Go runtime, or 1 GiB if there is none.
func defaultMemory() int64 {
	if limit := debug.SetMemoryLimit(-1); limit < math.MaxInt64 {
		return limit
	}
	return 1 << 30
}

// SetDefaults sets the settings that were left out to their defaults.
func (s *Settings) SetDefaults() {
	defaultTo(&s.Platform.Timeout, Duration(2*time.Second))
	defaultTo(&s.Platform.ConfigPoll, Duration(3*time.Second))
	defaultTo(&s.Peers.Interval, Duration(time.Second))
	defaultTo(&s.Peers.SuspectAfter, Duration(5*time.Second))
	defaultTo(&s.Regions.RoundTrip, Duration(20*time.Millisecond))
	defaultTo(&s.Limits.MemoryBytes, defaultMemory())
	defaultTo(&s.Limits.BodyBytes, 1<<20)
	defaultTo(&s.Limits.ReadTimeout, Duration(5*time.Second))
	defaultTo(&s.Limits.Requests, 4096)
	defaultTo(&s.Limits.Connections, 8192)
	defaultTo(&s.Limits.AnswerBytes, 8<<20)
	defaultTo(&s.Stop.BalancerLag, Duration(3*time.Second))
	defaultTo(&s.Stop.Drain, Duration(30*time.Second))
	defaultTo(&s.Ledger.RepeatWindow, Duration(24*time.Hour))
	defaultTo(&s.Ledger.CommitInterval, Duration(40*time.Millisecond))
	defaultTo(&s.Ledger.Committers, 8)
	defaultTo(&s.Ledger.TicketLife, Duration(15*time.Minute))
	defaultTo(&s.Log.Level, "info")
	defaultTo(&s.Log.Format, "json")
	for i := range s.Pools {
		if s.Pools[i].RefusalStatuses == nil {
			s.Pools[i].RefusalStatuses = []int{429}
		}
		if s.Pools[i].Kind == Service {
			defaultTo(&s.Pools[i].Path, "/v1/call")
		}
	}
}

// validate returns the faults of settings that were decoded.
func (s *Settings) validate() strictjson.Problems {
	var p strictjson.Problems
	required(&p, "node.name", s.Node.Name)
	required(&p, "node.data_centre", s.Node.DataCentre)
	checkAddr(&p, "listen.caller.addr", s.Listen.Caller.Addr)
	checkAddr(&p, "listen.admin.addr", s.Listen.Admin.Addr)
	checkAddr(&p, "listen.peer.addr", s.Listen.Peer.Addr)
	checkAddr(&p, "listen.observe.addr", s.Listen.Observe.Addr)
	checkAddr(&p, "platform.addr", s.Platform.Addr)
	for i, seed := range s.Peers.Seeds {
		checkAddr(&p, index("peers.seeds", i), seed)
	}
	s.validateOperators(&p)
	s.validatePools(&p)
	s.validateRegions(&p)
	s.validateRanges(&p)
	return p
}

func (s *Settings) validateOperators(p *strictjson.Problems) {
	seen := make(map[string]bool)
	for i, o := range s.Operators {
		path := index("operators", i)
		if !isSHA256(o.TokenSHA256) {
			p.Add(path+".token_sha256", "is not 64 hex digits: write the output of `topazmoor check --hash TOKEN`")
		}
		if seen[o.Name] {
			p.Add(path+".name", "%q stands twice: give each operator a name of its own", o.Name)
		}
		seen[o.Name] = true
	}
}

func (s *Settings) validatePools(p *strictjson.Problems) {
	seen := make(map[string]bool)
	for i, pool := range s.Pools {
		path := index("pools", i)
		required(p, path+".name", pool.Name)
		if !slices.Contains(PoolKinds, pool.Kind) {
			p.Add(path+".kind", "%q is not a kind: write one of encode, retrieve, rerank, generate, service", pool.Kind)
		}
		if seen[pool.Name] {
			p.Add(path+".name", "%q stands twice: give each pool a name of its own", pool.Name)
		}
		seen[pool.Name] = true
		if pool.Path != "" && pool.Path[0] != '/' {
			p.Add(path+".path", "%q does not start with a slash: write a path such as \"/v1/call\"", pool.Path)
		}
		for j, st := range pool.RefusalStatuses {
			if st < 400 || st > 599 {
				p.Add(index(path+".refusal_statuses", j), "%d is not an HTTP error status: write one from 400 to 599", st)
			}
		}
	}
}

func (s *Settings) validateRegions(p *strictjson.Problems) {
	for _, dc := range slices.Sorted(maps.Keys(s.Regions.DataCentres)) {
		path := "regions.data_centres." + dc
		if dc == "" {
			p.Add(path, "has no name: write the name of a data centre")
		}
		required(p, path, s.Regions.DataCentres[dc])
	}
	own, listed := s.Regions.DataCentres[s.Node.DataCentre]
	switch {
	case len(s.Regions.DataCentres) == 0 || s.Node.DataCentre == "":
	case !listed:
		p.Add("regions.data_centres", "has no entry for this node's data centre %q: add it", s.Node.DataCentre)
	case s.Node.Region != "" && s.Node.Region != own:
		p.Add("node.region", "is %q, but regions.data_centres puts %q into %q: write one of them", s.Node.Region, s.Node.DataCentre, own)
	}
}

// RegionMap returns the region of each data centre that has a known one, this node's included.
func (s *Settings) RegionMap() region.Map {
	m := region.Map{}
	maps.Copy(m, s.Regions.DataCentres)
	if s.Node.Region != "" {
		m[s.Node.DataCentre] = s.Node.Region
	}
	return m
}

func (s *Settings) validateRanges(p *strictjson.Problems) {
	positive(p, "platform.timeout", int64(s.Platform.Timeout))
	positive(p, "platform.config_poll", int64(s.Platform.ConfigPoll))
	positive(p, "peers.interval", int64(s.Peers.Interval))
	positive(p, "regions.round_trip", int64(s.Regions.RoundTrip))
	positive(p, "limits.memory_bytes", s.Limits.MemoryBytes)
	positive(p, "limits.body_bytes", s.Limits.BodyBytes)
	positive(p, "limits.requests", int64(s.Limits.Requests))
	positive(p, "ledger.committers", int64(s.Ledger.Committers))
	if s.Peers.SuspectAfter < 2*s.Peers.Interval {
		p.Add("peers.suspect_after", "is under two gossip intervals: write at least %v", 2*s.Peers.Interval.Std())
	}
	if !slices.Contains([]string{"debug", "info", "warn", "error"}, s.Log.Level) {
		p.Add("log.level", "%q is not a level: write debug, info, warn or error", s.Log.Level)
	}
	if !slices.Contains([]string{"text", "json"}, s.Log.Format) {
		p.Add("log.format", "%q is not a format: write text or json", s.Log.Format)
	}
}

// Config returns the tls.Config of a listener, or nil if t is nil (plain TCP).
func (t *TLS) Config() (*tls.Config, error) {
	if t == nil {
		return nil, nil
	}
	cert, err := tls.LoadX509KeyPair(t.CertFile, t.KeyFile)
	if err != nil {
		return nil, eris.Wrap(err, "load certificate")
	}
	cfg := &tls.Config{Certificates: []tls.Certificate{cert}, MinVersion: tls.VersionTLS12}
	if t.ClientCAFile == "" {
		return cfg, nil
	}
	pem, err := os.ReadFile(t.ClientCAFile)
	if err != nil {
		return nil, eris.Wrap(err, "read client CA")
	}
	cfg.ClientCAs = x509.NewCertPool()
	if !cfg.ClientCAs.AppendCertsFromPEM(pem) {
		return nil, eris.Errorf("%s holds no PEM certificate", t.ClientCAFile)
	}
	cfg.ClientAuth = tls.RequireAndVerifyClientCert
	return cfg, nil
}

// DialConfig returns the tls.Config with which a node dials listeners that have
// the same settings: it presents the certificate and trusts ClientCAFile, or the
// system's CAs if that is empty. It is nil if t is nil (plain TCP).
func (t *TLS) DialConfig() (*tls.Config, error) {
	cfg, err := t.Config()
	if cfg == nil || err != nil {
		return nil, err
	}
	return &tls.Config{Certificates: cfg.Certificates, RootCAs: cfg.ClientCAs, MinVersion: cfg.MinVersion}, nil
}

func checkAddr(p *strictjson.Problems, path, addr string) {
	if _, err := netip.ParseAddrPort(addr); err != nil {
		p.Add(path, "%q is not an IP number and port: write one such as \"10.0.0.7:8080\"", addr)
	}
}
