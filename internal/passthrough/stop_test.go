package passthrough

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

func TestStoppingNodeTakesWhatItCanEnd(t *testing.T) {
	const lag, grace = 2 * time.Second, 8 * time.Second
	for name, tc := range map[string]struct {
		at, timeToAnswer, longest time.Duration
		want                      bool
	}{
		"at once":                             {0, time.Second, 20 * time.Second, true},
		"at once, the answer begins too late": {0, grace, 20 * time.Second, false},
		"late":                                {3 * time.Second, time.Second, 20 * time.Second, false},
		"late, with little time":              {3 * time.Second, time.Second, 4 * time.Second, true},
		"late, within the margin":             {3 * time.Second, time.Second, 4800 * time.Millisecond, false},
		"at the end":                          {grace, 0, time.Millisecond, false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := PlannedStop{Left: time.Now().Add(lag), Ends: time.Now().Add(grace)}
				time.Sleep(tc.at)
				qt.Check(t, p.admits(tc.timeToAnswer, tc.longest), qt.Equals, tc.want)
				// A suspension of the host takes the time that it lasted.
				p = PlannedStop{Left: time.Now().Add(lag), Ends: time.Now().Add(grace)}
				qt.Check(t, p.earlier(tc.at).admits(tc.timeToAnswer, tc.longest), qt.Equals, tc.want)
			})
		})
	}
}
