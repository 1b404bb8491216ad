package rollout

import "time"

// Call identifies a call of a target in the evidence.
type Call struct {
	Service, Version, Target, Route string
}

// Outcome is how a call ended.
type Outcome uint8

// The outcomes of calls.
const (
	// Good: the target answered without a failure.
	Good Outcome = iota
	// Bad: the call failed.
	Bad
	// Left: the caller abandoned the call without an answer.
	Left
	// Inconclusive: the call was not run, or its end says nothing about the version.
	Inconclusive
)

// String returns the outcome as a metric label.
func (o Outcome) String() string {
	return [...]string{"good", "bad", "left", "inconclusive"}[o]
}

// Ending describes how a call ended.
type Ending struct {
	Outcome Outcome
	// Took is the time until the answer, or until the first event of a stream; of a call that was
	// abandoned without an answer, the time until then.
	Took time.Duration
	// Gap is the longest wait for an event of a stream after its first one; 0 for other calls. A wait
	// that the end of the stream interrupted is included.
	Gap time.Duration
	// Total is the time until the end of the call.
	Total time.Duration
	// LacksPrompt says that the target had to read a part of the prompt that other targets may have
	// cached: Took is no measure of the version.
	LacksPrompt bool
	// Progressed says that Progressed has counted the call as an answer already, with ProgressGap as
	// its Gap.
	Progressed  bool
	ProgressGap time.Duration
}

// hasNewGap reports whether the gap is to be counted: a gap that Progressed has counted is not, unless it
// has grown.
func (e Ending) hasNewGap() bool {
	return e.Gap > 0 && (!e.Progressed || e.ProgressGap <= 0 || bucketOf(e.Gap) > bucketOf(e.ProgressGap))
}

// oldInFlight counts the calls in flight at targets of other versions than that of an order. The lock
// is held.
func (g *Gate) oldInFlight(o Order) (n int) {
	for version, calls := range g.inFlight[o.Service] {
		if version != o.To {
			n += calls
		}
	}
	return n
}

// addInFlight adds n to the calls in flight at targets of a version. The lock is held.
func (g *Gate) addInFlight(c Call, n int) {
	versions := g.inFlight[c.Service]
	if versions == nil {
		versions = make(map[string]int)
		g.inFlight[c.Service] = versions
	}
	if versions[c.Version] += n; versions[c.Version] == 0 {
		delete(versions, c.Version)
	}
}

// Sent counts a call that is sent to a target.
func (g *Gate) Sent(c Call) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.addInFlight(c, 1)
	s := g.orders[c.Service]
	if s == nil || s.answer.State.Final() {
		return
	}
	s.evidence.Sent++
	if c.Version == s.To {
		s.evidence.SentNew++
	}
}

// Progressed counts a stream in progress as a good answer, so that long streams are evidence before
// they end. Total is its time so far.
func (g *Gate) Progressed(c Call, e Ending) {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.orders[c.Service]
	if s == nil || s.answer.State.Final() {
		return
	}
	if c.Version != s.To {
		s.longest[c.Route] = max(s.longest[c.Route], e.Total)
	}
	s.addEvidence(c, e, c.Version == s.To)
}

// Ended counts the end of a call that Sent counted.
func (g *Gate) Ended(c Call, e Ending) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.addInFlight(c, -1)
	s := g.orders[c.Service]
	if s == nil {
		return
	}
	isNew := c.Version == s.To
	if g.CallEnded != nil {
		g.CallEnded(c, e.Outcome, !isNew && (s.answer.OldStops || s.answer.State == Completed))
	}
	if s.answer.State.Final() {
		return
	}
	if !isNew {
		s.longest[c.Route] = max(s.longest[c.Route], e.Total)
		s.reportLastOfOld(g.oldInFlight(s.Order))
	}
	s.addEvidence(c, e, isNew)
}

// reportLastOfOld lets the node report at once that no call is left at the old version, if all traffic
// goes to the new one: the owner may need only that to complete the order. The lock is held.
func (s *orderState) reportLastOfOld(inFlight int) {
	if inFlight == 0 && s.answer.Share == 1 {
		s.interruptReport()
	}
}

// addEvidence adds the end of a call to the evidence. The lock is held.
func (s *orderState) addEvidence(c Call, e Ending, isNew bool) {
	source := Source{Route: c.Route, New: isNew}
	if isNew {
		source.Target = c.Target
	}
	untimed := isNew && e.LacksPrompt
	t := s.evidence.Tallies[source]
	switch {
	case e.Outcome == Inconclusive, e.Outcome == Left && untimed:
		return
	case e.Outcome == Good && e.Progressed:
	case e.Outcome == Good && untimed:
		// The shortest class is never slow.
		t.Took[0]++
	case e.Outcome == Good:
		t.Took[bucketOf(e.Took)]++
	case e.Outcome == Left:
		t.Left[bucketOf(e.Took)]++
	default:
		t.Bad++
	}
	if e.Outcome == Good && e.hasNewGap() {
		t.Gaps[bucketOf(e.Gap)]++
	}
	s.evidence.Tallies[source] = t
	if e.Outcome == Bad && isNew {
		s.unreportedBad = true
		s.interruptReport()
	}
}

// interruptReport makes the node send its next report at once, in place of one that the owner holds. It
// does not block.
func (s *orderState) interruptReport() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}
