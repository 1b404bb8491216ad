package attribution

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"topazmoor/internal/store"
)

const (
	route Part = iota + 1
	bad
	document
)

func TestEnds(t *testing.T) {
	now := time.Unix(1000, 0)
	at := func(n int64) store.Version { return store.Version{Number: n} }
	report := func(n int64, process string, runs ...Run) Report {
		return Report{Process: process, Node: fmt.Sprint("n", n), Runs: runs, At: at(n), Learned: now}
	}
	crash := Run{Parts: []Part{route, bad}, Begun: true}
	for name, tc := range map[string]struct {
		evidence Evidence
		proven   map[Part]time.Time
		want     map[Part]Ends
	}{
		"a process counts once, whoever reports it": {
			evidence: Evidence{Reports: []Report{report(1, "a", crash), report(2, "a", crash)}},
			want:     map[Part]Ends{route: {[]string{"a"}, 1}, bad: {[]string{"a"}, 1}},
		},
		"runs that waited count only where none had begun": {
			evidence: Evidence{Reports: []Report{
				report(1, "a", Run{Parts: []Part{document}}), report(2, "a", crash),
				report(3, "b", Run{Parts: []Part{document}}),
			}},
			want: map[Part]Ends{route: {[]string{"a"}, 1}, bad: {[]string{"a"}, 1}, document: {[]string{"b"}, 1}},
		},
		"a run that had just begun to answer is a suspect, and clears none that waited": {
			evidence: Evidence{Reports: []Report{
				report(1, "a", Run{Parts: []Part{document}}, Run{Parts: []Part{bad}, Answering: true}),
				report(2, "b", Run{Parts: []Part{document}}, Run{Parts: []Part{route}, Begun: true}, Run{Parts: []Part{bad}, Answering: true}),
			}},
			want: map[Part]Ends{document: {[]string{"a"}, 1}, route: {[]string{"b"}, 1}, bad: {[]string{"a", "b"}, 2}},
		},
		"a begun run without parts explains the end": {
			evidence: Evidence{Reports: []Report{report(1, "a", Run{Parts: []Part{document}}), report(2, "a", Run{Begun: true})}},
			want:     map[Part]Ends{},
		},
		"an answer refutes what was reported before it": {
			evidence: Evidence{Reports: []Report{report(1, "a", crash), report(3, "b", crash)}, Answered: map[Part]store.Version{route: at(2)}},
			want:     map[Part]Ends{route: {[]string{"b"}, 1}, bad: {[]string{"a", "b"}, 2}},
		},
		"a report that the store does not have is newer than all answers": {
			evidence: Evidence{Reports: []Report{{Process: "a", Runs: []Run{crash}, Learned: now}}, Answered: map[Part]store.Version{route: at(9)}},
			want:     map[Part]Ends{route: {[]string{"a"}, 1}, bad: {[]string{"a"}, 1}},
		},
		"an answer of a store that was restored since refutes": {
			evidence: Evidence{Reports: []Report{report(9, "a", crash)}, Answered: map[Part]store.Version{bad: {Era: 1, Number: 1}}},
			want:     map[Part]Ends{route: {[]string{"a"}, 1}},
		},
		"an answer that this node saw refutes for this node": {
			evidence: Evidence{Reports: []Report{report(1, "a", crash), report(2, "b", crash)}},
			proven:   map[Part]time.Time{route: now.Add(-AnswerGrace / 2), bad: now.Add(-2 * AnswerGrace)},
			want:     map[Part]Ends{route: {nil, 2}, bad: {[]string{"a", "b"}, 2}},
		},
	} {
		t.Run(name, func(t *testing.T) {
			tc.evidence.Proven = func(p Part) time.Time { return tc.proven[p] }
			qt.Assert(t, tc.evidence.Ends(), qt.DeepEquals, tc.want)
		})
	}
}

func TestThresholds(t *testing.T) {
	c := qt.New(t)
	for n := range 5 {
		e := Ends{Processes: make([]string, n)}
		c.Check(e.Suspect(), qt.Equals, n >= 2)
		c.Check(e.Convicted(), qt.Equals, n >= 3)
	}
}
