package httpconn

import (
	"net/http"
	"strconv"
	"strings"
	"time"
)

// keepAlive returns the idle timeout that a target names in its answer, such
// as "Keep-Alive: timeout=5".
func keepAlive(h http.Header) (time.Duration, bool) {
	for _, field := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if !strings.EqualFold(name, "timeout") && value != "" {
			continue
		}
		if value == "" {
			value = name
		}
		if s, err := strconv.Atoi(strings.TrimSpace(value)); err == nil {
			return time.Duration(s) * time.Second, true
		}
	}
	return 0, false
}
