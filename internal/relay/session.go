package relay

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/rotisserie/eris"
)

// session is one call to a node that is followed.
type session struct {
	f    *Follower
	node Node
	// began is when the call began; accepted is set after the first message that is usable.
	began    time.Time
	accepted bool
	// behindSince is since when the node's copies have been behind; zero if they are not.
	behindSince time.Time
	// lastPoll is when this node last called the store itself because the store does not answer the
	// other node; nextPoll is the earliest time of the next such call.
	lastPoll, nextPoll time.Time
	// choiceChecked is when the choice of the node to follow was last evaluated.
	choiceChecked time.Time
	// invalidations holds the value of Invalidations of each table when the call began.
	invalidations []int64
}

// handle applies one message; an error ends the call and is the reason to leave the node.
func (s *session) handle(m Message, now time.Time) error {
	// An update that is being received is not discarded for another choice.
	partial := slices.ContainsFunc(m.Tables, func(t TableMessage) bool { return t.Partial })
	if !partial && now.Sub(s.choiceChecked) > recheckInterval {
		s.choiceChecked = now
		if n, ok := s.f.choose(); !ok || n.Name != s.node.Name {
			return errMoved
		}
	}
	if len(m.Tables) != len(s.f.Tables) {
		return ErrEmpty
	}
	if !m.Tables[0].Position.Version.IsZero() && !m.Away && m.AnswerAge <= maxAge {
		// This precedes the rows, so that their views have the time of the store's return: some rows
		// may be missing shortly after it.
		s.f.Tables[0].RecordAnswer(now.Add(-m.AnswerAge))
	}
	// An update is sent only once, so it is applied in any case.
	if err := s.applyTables(m, now); err != nil {
		return err
	}
	if m.Tables[0].Position.Version.IsZero() {
		return s.checkEmpty(now)
	}
	if m.Away || m.AnswerAge > maxAge {
		if partial {
			return nil
		}
		return s.handleAway(now)
	}
	if !s.accepted {
		s.accepted = true
		s.f.recordFollowed(s.node)
	}
	s.f.hold()
	for i, table := range s.f.Tables {
		if !m.Tables[i].Partial {
			table.Confirm(s.invalidations[i])
		}
	}
	if partial {
		return nil
	}
	return s.checkBehind(m, now)
}

// handleAway decides what to do while the store does not answer the node. A node that ranks behind
// this one is left at once. Otherwise this node calls the store once, and leaves the other node if the
// store answers the call, or if ownAnswerTimeout passes without the call failing. If the call fails,
// this node stays, so that the other one detects for both when the store is back. So an outage costs
// a follower one call, and one more each probeInterval.
func (s *session) handleAway(now time.Time) error {
	lead := s.f.Tables[0]
	if s.f.ranksBefore(s.node.Name) {
		return ErrStoreUnavailable
	}
	s.f.hold()
	switch {
	case s.lastPoll.IsZero(), lead.Lost() && now.After(s.nextPoll):
		s.lastPoll = now
		s.nextPoll = now.Add(probeInterval/2 + rand.N(probeInterval))
		lead.PollNow()
	case lead.Lost():
	case lead.LastAnswer().After(s.lastPoll), now.Sub(s.lastPoll) > ownAnswerTimeout:
		return ErrStoreUnavailable
	}
	return nil
}

// checkEmpty fails with ErrEmpty if the node has had no copy for more than emptyTimeout.
func (s *session) checkEmpty(now time.Time) error {
	if now.Sub(s.began) > emptyTimeout {
		return ErrEmpty
	}
	return nil
}

// applyTables applies the updates of all tables, and compares the copies with the node's.
func (s *session) applyTables(m Message, now time.Time) error {
	for i, table := range s.f.Tables {
		theirs := m.Tables[i]
		if theirs.Position.Version.IsZero() || theirs.Partial {
			continue
		}
		if i > 0 && theirs.AnswerAge != NeverAnswered {
			table.RecordAnswer(now.Add(-theirs.AnswerAge))
		}
		if theirs.News != nil {
			if err := table.ApplyUpdate(*theirs.News); err != nil {
				return eris.Wrapf(err, "table %s at version %s", table.Name, theirs.Position.Version)
			}
		}
		if err := table.Compare(theirs.Position); err != nil {
			return eris.Wrapf(err, "table %s at version %s", table.Name, theirs.Position.Version)
		}
	}
	return nil
}

// isBehind reports whether the node's copy of the first table is older than that of this node, or lacks
// a row that a third node has. Only the first table's copies are compared: the version of a copy rises
// with each answer of the store, and the calls of the other tables wait long for one.
func (s *session) isBehind(m Message) bool {
	if m.Tables[0].Position.Version.Before(s.f.Tables[0].Copy().Position().Version) {
		return true
	}
	for i, table := range s.f.Tables {
		if m.Tables[i].Position.Version.Before(table.Reported()) {
			return true
		}
	}
	return false
}

// checkBehind fails with ErrBehind if the node's copies have been behind for more than behindTimeout.
func (s *session) checkBehind(m Message, now time.Time) error {
	if !s.isBehind(m) {
		s.behindSince = time.Time{}
		return nil
	}
	if s.behindSince.IsZero() {
		s.behindSince = now
	}
	if now.Sub(s.behindSince) > behindTimeout {
		return ErrBehind
	}
	return nil
}
