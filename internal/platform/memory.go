package platform

import (
	"context"
	"sort"
	"strings"
	"sync"
	"time"
)

// Faults are the failures of a Memory store. The zero value is a healthy one.
type Faults struct {
	// Down refuses every call with ErrUnavailable.
	Down bool `json:"down"`
	// Delay is added to every call.
	Delay time.Duration `json:"delay"`
	// LoseReplies makes the next N commits take effect and return ErrUnknown.
	LoseReplies int `json:"lose_replies"`
	// DropCommits makes the next N commits take no effect and return
	// ErrUnknown.
	DropCommits int `json:"drop_commits"`
	// LateCommits makes the next N commits return ErrUnknown at once and take
	// effect only LateBy later, if their conditions still hold then.
	LateCommits int           `json:"late_commits"`
	LateBy      time.Duration `json:"late_by"`
}

// Counts are the calls that a Memory store has served.
type Counts struct {
	Commits int64 `json:"commits"`
	Writes  int64 `json:"writes"`
	Reads   int64 `json:"reads"`
}

// Memory is an in-memory Store for tests and for the stand-in platform. All
// methods may be called concurrently.
type Memory struct {
	mu      sync.Mutex
	tables  map[string]map[string]Row
	objects map[string][]byte
	hosts   map[string]Host
	version int64
	faults  Faults
	counts  Counts
}

// NewMemory returns an empty, healthy store.
func NewMemory() *Memory {
	return &Memory{
		tables:  make(map[string]map[string]Row),
		objects: make(map[string][]byte),
		hosts:   make(map[string]Host),
	}
}

// SetFaults replaces the faults.
func (m *Memory) SetFaults(f Faults) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.faults = f
}

// Counts returns the calls served so far.
func (m *Memory) Counts() Counts {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.counts
}

// SetHost adds or replaces one host of the host list.
func (m *Memory) SetHost(h Host) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.hosts[h.ID] = h
}

// RemoveHost drops one host from the host list.
func (m *Memory) RemoveHost(id string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.hosts, id)
}

// enter waits out the delay and reports whether the call is refused.
func (m *Memory) enter(ctx context.Context) error {
	m.mu.Lock()
	f := m.faults
	m.mu.Unlock()
	if f.Delay > 0 {
		select {
		case <-ctx.Done():
			return ErrUnavailable
		case <-time.After(f.Delay):
		}
	}
	if f.Down || ctx.Err() != nil {
		return ErrUnavailable
	}
	return nil
}

// Commit implements Tables.
func (m *Memory) Commit(ctx context.Context, tx Tx) (int64, error) {
	if err := m.enter(ctx); err != nil {
		return 0, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.counts.Commits++
	m.counts.Writes += int64(len(tx.Writes))
	if m.faults.DropCommits > 0 {
		m.faults.DropCommits--
		return 0, ErrUnknown
	}
	if m.faults.LateCommits > 0 {
		m.faults.LateCommits--
		time.AfterFunc(m.faults.LateBy, func() { m.applyLate(tx) })
		return 0, ErrUnknown
	}
	if failed := m.failed(tx.Conditions); len(failed) > 0 {
		return 0, &ConflictError{Failed: failed}
	}
	m.applyAll(tx)
	if m.faults.LoseReplies > 0 {
		m.faults.LoseReplies--
		return 0, ErrUnknown
	}
	return m.version, nil
}

func (m *Memory) applyAll(tx Tx) {
	m.version++
	for _, w := range tx.Writes {
		m.apply(w)
	}
}

func (m *Memory) applyLate(tx Tx) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.failed(tx.Conditions)) == 0 {
		m.applyAll(tx)
	}
}

func (m *Memory) failed(conds []Condition) []int {
	var out []int
	for i, c := range conds {
		if m.tables[c.Table][c.Key].Version != c.Version {
			out = append(out, i)
		}
	}
	return out
}

func (m *Memory) apply(w Write) {
	t := m.tables[w.Table]
	if t == nil {
		t = make(map[string]Row)
		m.tables[w.Table] = t
	}
	if w.Delete {
		delete(t, w.Key)
		return
	}
	t[w.Key] = Row{Table: w.Table, Key: w.Key, Value: w.Value, Version: m.version}
}

// Get implements Tables.
func (m *Memory) Get(ctx context.Context, table, key string) (Row, error) {
	if err := m.enter(ctx); err != nil {
		return Row{}, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.counts.Reads++
	r, ok := m.tables[table][key]
	if !ok {
		return Row{}, ErrNotFound
	}
	return r, nil
}

// Scan implements Tables.
func (m *Memory) Scan(ctx context.Context, table, prefix, after string, limit int) ([]Row, error) {
	if err := m.enter(ctx); err != nil {
		return nil, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.counts.Reads++
	var out []Row
	for k, r := range m.tables[table] {
		if strings.HasPrefix(k, prefix) && k > after {
			out = append(out, r)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Key < out[j].Key })
	if len(out) > limit {
		out = out[:limit]
	}
	return out, nil
}

// Put implements Objects.
func (m *Memory) Put(ctx context.Context, key string, value []byte) error {
	if err := m.enter(ctx); err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.counts.Writes++
	m.objects[key] = value
	return nil
}

// GetObject implements Objects.
func (m *Memory) GetObject(ctx context.Context, key string) ([]byte, error) {
	if err := m.enter(ctx); err != nil {
		return nil, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.counts.Reads++
	v, ok := m.objects[key]
	if !ok {
		return nil, ErrNotFound
	}
	return v, nil
}

// ListHosts implements Hosts. The result is sorted by ID.
func (m *Memory) ListHosts(ctx context.Context) ([]Host, error) {
	if err := m.enter(ctx); err != nil {
		return nil, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.counts.Reads++
	out := make([]Host, 0, len(m.hosts))
	for _, h := range m.hosts {
		out = append(out, h)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return out, nil
}
