package readiness

import (
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// ParseRest reads the values of a Retry-After header, with that of the Date header beside it: the
// longest time that has a meaning, 0 for none. Source: RFC 9110, sections 10.2.3 and 6.6.1;
// fractions of seconds are taken too.
func ParseRest(values []string, date string, now time.Time) time.Duration {
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
		return time.Duration(min(s, Longest.Seconds()) * float64(time.Second))
	}
	at, err := http.ParseTime(v)
	if err != nil {
		return 0
	}
	// The sender's own clock says how far its date lies ahead.
	if sent, err := http.ParseTime(date); err == nil {
		now = sent
	}
	return min(max(at.Sub(now), 0), Longest)
}
