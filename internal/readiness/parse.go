package readiness

import (
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// ParseRetryAfter parses the values of a Retry-After header; date is the value of the Date header
// of the same answer. It returns the longest valid time, at most MaxRest, and 0 if there is none.
// Source: RFC 9110, sections 10.2.3 and 6.6.1; fractions of seconds are accepted too.
func ParseRetryAfter(values []string, date string, now time.Time) time.Duration {
	var rest time.Duration
	for _, v := range values {
		rest = max(rest, parseRest(strings.TrimSpace(v), date, now))
	}
	return rest
}

func parseRest(v, date string, now time.Time) time.Duration {
	if s, err := strconv.ParseFloat(v, 64); err == nil {
		if math.IsNaN(s) || math.IsInf(s, 0) || s <= 0 {
			return 0
		}
		return time.Duration(min(s, MaxRest.Seconds()) * float64(time.Second))
	}
	at, err := http.ParseTime(v)
	if err != nil {
		return 0
	}
	// The rest lasts until the Retry-After date by the target's clock, which may differ from this
	// node's: measure it from the Date of the same answer, if that is valid.
	if sent, err := http.ParseTime(date); err == nil {
		now = sent
	}
	return min(max(at.Sub(now), 0), MaxRest)
}
