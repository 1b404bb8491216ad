package store

import (
	"context"
	"encoding/json"
	"maps"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// Faults are the failures that a Memory store injects. The zero value injects none.
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

// Counts are the numbers of calls that a Memory store has served and of rows and objects
// written.
type Counts struct {
	Commits int64 `json:"commits"`
	Writes  int64 `json:"writes"`
	Reads   int64 `json:"reads"`
}

type rowID struct{ table, key string }

// Memory is an in-memory Store for tests and for the stand-in platform. All
// methods may be called concurrently.
type Memory struct {
	mu      sync.Mutex
	tables  map[string]map[string]Row
	objects map[string][]byte
	// deleted holds the version at which rows were deleted.
	deleted map[rowID]Version
	// compacted is the version up to which the history of changes is dropped.
	compacted Version
	// changed is closed at the next change, and replaced then.
	changed chan struct{}
	version Version
	faults  Faults
	counts  Counts
}

// NewMemory returns an empty, healthy store.
func NewMemory() *Memory {
	return &Memory{
		tables:  make(map[string]map[string]Row),
		objects: make(map[string][]byte),
		deleted: make(map[rowID]Version),
		changed: make(chan struct{}),
	}
}

// SetFaults replaces the faults.
func (m *Memory) SetFaults(f Faults) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.faults = f
}

// Counts returns the counts so far.
func (m *Memory) Counts() Counts {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.counts
}

// SetHost adds or replaces one host of the host list.
func (m *Memory) SetHost(h Host) {
	value, err := json.Marshal(h)
	if err != nil {
		panic(err) // a Host holds nothing that JSON cannot encode
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.applyAll(Tx{Writes: []Write{{Table: HostTable, Key: h.ID, Value: value}}})
}

// RemoveHost deletes one host from the host list.
func (m *Memory) RemoveHost(id string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.applyAll(Tx{Writes: []Write{{Table: HostTable, Key: id, Delete: true}}})
}

// Compact drops the history of all changes so far; followers must read whole tables.
func (m *Memory) Compact() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.compacted = m.version
	clear(m.deleted)
	m.notifyWaiters()
}

// notifyWaiters wakes the calls that wait for changes. The caller holds m.mu.
func (m *Memory) notifyWaiters() {
	close(m.changed)
	m.changed = make(chan struct{})
}

// Backup is a backup of a Memory, from which Restore can restore it.
type Backup struct {
	tables  map[string]map[string]Row
	objects map[string][]byte
	deleted map[rowID]Version
	version Version
	// compacted is the version up to which the history of changes had been dropped.
	compacted Version
}

// Save returns a backup of the current content of the store.
func (m *Memory) Save() *Backup {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := &Backup{tables: make(map[string]map[string]Row), objects: maps.Clone(m.objects), deleted: maps.Clone(m.deleted), version: m.version, compacted: m.compacted}
	for name, t := range m.tables {
		s.tables[name] = maps.Clone(t)
	}
	return s
}

// Restore replaces the content of the store by the backup s and begins a new era.
func (m *Memory) Restore(s *Backup) {
	m.mu.Lock()
	defer m.mu.Unlock()
	era := m.version.Era + 1
	m.objects, m.deleted = maps.Clone(s.objects), maps.Clone(s.deleted)
	m.tables = make(map[string]map[string]Row, len(s.tables))
	for name, t := range s.tables {
		m.tables[name] = maps.Clone(t)
	}
	m.version = Version{Era: era, Number: s.version.Number}
	m.compacted = s.compacted
	m.notifyWaiters()
}

// Version returns the version of the last commit.
func (m *Memory) Version() Version {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.version
}

// withCurrentEra returns r with the current era in its version. The caller holds m.mu.
func (m *Memory) withCurrentEra(r Row) Row {
	r.Version.Era = m.version.Era
	return r
}

// checkFaults waits for the injected delay and returns ErrUnavailable if the store is down or ctx
// has ended.
func (m *Memory) checkFaults(ctx context.Context) error {
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
func (m *Memory) Commit(ctx context.Context, tx Tx) (Version, error) {
	if err := m.checkFaults(ctx); err != nil {
		return Version{}, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.counts.Commits++
	m.counts.Writes += int64(len(tx.Writes))
	if m.faults.DropCommits > 0 {
		m.faults.DropCommits--
		return Version{}, ErrUnknown
	}
	if m.faults.LateCommits > 0 {
		m.faults.LateCommits--
		time.AfterFunc(m.faults.LateBy, func() { m.applyLate(tx) })
		return Version{}, ErrUnknown
	}
	if failed := m.failed(tx.Conditions); len(failed) > 0 {
		return Version{}, &ConflictError{Failed: failed}
	}
	m.applyAll(tx)
	if m.faults.LoseReplies > 0 {
		m.faults.LoseReplies--
		return Version{}, ErrUnknown
	}
	return m.version, nil
}

// applyAll applies the writes of tx as one new version. The caller holds m.mu.
func (m *Memory) applyAll(tx Tx) {
	m.version.Number++
	for _, w := range tx.Writes {
		m.apply(w)
	}
	m.notifyWaiters()
}

// applyLate applies a delayed commit if its conditions still hold.
func (m *Memory) applyLate(tx Tx) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.failed(tx.Conditions)) == 0 {
		m.applyAll(tx)
	}
}

// failed returns the indices of the conditions that do not hold. The caller holds m.mu.
func (m *Memory) failed(conds []Condition) []int {
	var out []int
	for i, c := range conds {
		now := m.tables[c.Table][c.Key].Version
		if !now.IsZero() {
			now.Era = m.version.Era
		}
		if !now.Matches(c.Version) {
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
	id := rowID{w.Table, w.Key}
	if w.Delete {
		delete(t, w.Key)
		m.deleted[id] = m.version
		return
	}
	delete(m.deleted, id)
	t[w.Key] = Row{Table: w.Table, Key: w.Key, Value: w.Value, Version: m.version}
}

// Get implements Tables.
func (m *Memory) Get(ctx context.Context, table, key string) (Row, error) {
	if err := m.checkFaults(ctx); err != nil {
		return Row{}, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.counts.Reads++
	r, ok := m.tables[table][key]
	if !ok {
		return Row{}, &NotFoundError{Era: m.version.Era}
	}
	return m.withCurrentEra(r), nil
}

// Scan implements Tables.
func (m *Memory) Scan(ctx context.Context, table, prefix, after string, limit int) ([]Row, error) {
	if err := m.checkFaults(ctx); err != nil {
		return nil, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.counts.Reads++
	var out []Row
	for k, r := range m.tables[table] {
		if strings.HasPrefix(k, prefix) && k > after {
			out = append(out, m.withCurrentEra(r))
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
	if err := m.checkFaults(ctx); err != nil {
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
	if err := m.checkFaults(ctx); err != nil {
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

// ListHosts returns the host list, sorted by ID.
func (m *Memory) ListHosts(ctx context.Context) ([]Host, error) {
	snap, err := m.Snapshot(ctx, HostTable, Version{})
	if err != nil {
		return nil, err
	}
	out := make([]Host, 0, len(snap.Rows))
	for _, r := range snap.Rows {
		var h Host
		if err := json.Unmarshal(r.Value, &h); err != nil {
			return nil, eris.Wrapf(err, "decode host %s", r.Key)
		}
		out = append(out, h)
	}
	return out, nil
}

// Snapshot implements Watchable. Rows are sorted by key.
func (m *Memory) Snapshot(ctx context.Context, table string, _ Version) (Snapshot, error) {
	if err := m.checkFaults(ctx); err != nil {
		return Snapshot{}, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.counts.Reads++
	s := Snapshot{Version: m.version}
	for _, r := range m.tables[table] {
		s.Rows = append(s.Rows, m.withCurrentEra(r))
	}
	sort.Slice(s.Rows, func(i, j int) bool { return s.Rows[i].Key < s.Rows[j].Key })
	return s, nil
}

// Changes implements Watchable.
func (m *Memory) Changes(ctx context.Context, table string, after Version, wait time.Duration) (Changes, error) {
	if err := m.checkFaults(ctx); err != nil {
		return Changes{}, err
	}
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	for {
		m.mu.Lock()
		out, err := m.changesAfter(table, after)
		changed, down := m.changed, m.faults.Down
		m.mu.Unlock()
		if down {
			return Changes{}, ErrUnavailable
		}
		if err != nil || len(out.Changes) > 0 {
			return out, err
		}
		select {
		case <-changed:
		case <-timeout.C:
			return out, nil
		case <-ctx.Done():
			return Changes{}, ErrUnavailable
		}
	}
}

// changesAfter lists the changes of a table after a version. The caller holds m.mu.
func (m *Memory) changesAfter(table string, after Version) (Changes, error) {
	// The service gets only the number of the caller's version, not its era.
	if after.Number < m.compacted.Number || after.Number > m.version.Number {
		return Changes{}, ErrCompacted
	}
	m.counts.Reads++
	out := Changes{Version: m.version}
	for _, r := range m.tables[table] {
		if r.Version.Number > after.Number {
			out.Changes = append(out.Changes, Change{Row: m.withCurrentEra(r)})
		}
	}
	for id, version := range m.deleted {
		if id.table == table && version.Number > after.Number {
			out.Changes = append(out.Changes, Change{Row: m.withCurrentEra(Row{Table: table, Key: id.key, Version: version}), Deleted: true})
		}
	}
	sort.Slice(out.Changes, func(i, j int) bool { return out.Changes[i].Version.Before(out.Changes[j].Version) })
	return out, nil
}
