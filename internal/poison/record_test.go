package poison

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func TestDigestTellsAccountsAndMessagesApart(t *testing.T) {
	c := qt.New(t)
	d := DigestOf("pilots", "POST", "port.example", "/plan/x", []byte("tug 7"))
	c.Assert(DigestOf("pilots", "POST", "port.example", "/plan/x", []byte("tug 7")), qt.Equals, d)
	for _, other := range []Digest{
		DigestOf("agents", "POST", "port.example", "/plan/x", []byte("tug 7")),
		DigestOf("pilots", "PUT", "port.example", "/plan/x", []byte("tug 7")),
		DigestOf("pilots", "POST", "yard.example", "/plan/x", []byte("tug 7")),
		DigestOf("pilots", "POST", "port.example", "/plan/y", []byte("tug 7")),
		DigestOf("pilots", "POST", "port.example", "/plan/x", []byte("tug 8")),
		// The end of one part does not run into the next.
		DigestOf("pilots", "POST", "port.example", "/plan/xt", []byte("ug 7")),
	} {
		c.Assert(other, qt.Not(qt.Equals), d)
	}
	back, err := ParseDigest(d.String())
	c.Assert(err, qt.IsNil)
	c.Assert(back, qt.Equals, d)
}

func TestRecordDecides(t *testing.T) {
	two := []string{"a", "b"}
	for name, tc := range map[string]struct {
		record    Record
		unchanged time.Duration
		decision  Decision
		after     time.Duration
	}{
		"nothing known":                       {Record{}, 0, Pass, 0},
		"one end may be anything":             {Record{Ended: []string{"a"}}, 0, Pass, 0},
		"the first probe at once":             {Record{Ended: two}, 0, MayProbe, 0},
		"one probe at a time":                 {Record{Ended: two, Probes: 1, Probe: "p", ProbeMS: 5000}, time.Second, Refuse, 4 * time.Second},
		"a probe whose node is gone just now": {Record{Ended: two, Probes: 1, Probe: "p", ProbeMS: 5000}, 5 * time.Second, Refuse, probePauses[1] - 5*time.Second},
		"a probe whose node is gone":          {Record{Ended: two, Probes: 1, Probe: "p", ProbeMS: 5000}, probePauses[1], MayProbe, 0},
		"the next after a pause":              {Record{Ended: two, Probes: 1}, time.Second, Refuse, probePauses[1] - time.Second},
		"the pause has passed":                {Record{Ended: two, Probes: 2}, probePauses[2], MayProbe, 0},
		"no more":                             {Record{Ended: two, Probes: len(probePauses)}, recordTTL, Refuse, 0},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			decision, after := tc.record.Decide(tc.unchanged, probeSpec{})
			c.Assert(decision, qt.Equals, tc.decision)
			c.Assert(after, qt.Equals, tc.after)
		})
	}
}

func TestProcessEndsOnceInARecord(t *testing.T) {
	c := qt.New(t)
	r := Record{Probes: 1, Probe: "p"}.withEnd("a", "").withEnd("a", "")
	c.Assert(r.Ended, qt.DeepEquals, []string{"a"})
	c.Assert(r.Probe, qt.Equals, "p")
	// The probe ended a process whose end another request had reported before.
	r = r.withEnd("a", "p")
	c.Assert(r.Ended, qt.DeepEquals, []string{"a"})
	c.Assert(r.Probe, qt.Equals, "")
	for i := range 2 * maxProcesses {
		r = r.withEnd(fmt.Sprint(i), "")
	}
	c.Assert(r.Ended, qt.HasLen, maxProcesses)
}

func FuzzDecodeRecord(f *testing.F) {
	f.Add([]byte(`{"ended":["a","b"],"probes":1,"probe":"n/1"}`))
	f.Add([]byte(`{"ended":null}`))
	f.Add([]byte(`[]`))
	f.Fuzz(func(t *testing.T, value []byte) {
		r, err := decodeRecord(value)
		if err != nil {
			return
		}
		back, err := decodeRecord(r.encode())
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, len(back.Ended), qt.Equals, len(r.Ended))
		back.Decide(time.Minute, probeSpec{})
	})
}
