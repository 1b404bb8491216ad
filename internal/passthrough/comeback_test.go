package passthrough

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func TestComeBackUnready(t *testing.T) {
	for name, tc := range map[string]struct {
		callerTimeout time.Duration
		away          bool
		want          time.Duration
	}{
		"a start":                {6 * time.Second, false, retryAfterStart},
		"little time":            {600 * time.Millisecond, true, retryAfterStart},
		"what a caller heeds":    {5 * time.Second, true, 1500 * time.Millisecond},
		"much time":              {20 * time.Second, true, maxRetryAfterOutage},
		"a caller without bound": {0, true, maxRetryAfterOutage},
	} {
		t.Run(name, func(t *testing.T) {
			qt.Assert(t, retryAfterUnready(tc.callerTimeout, tc.away), qt.Equals, tc.want)
		})
	}
}
