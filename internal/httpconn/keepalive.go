package httpconn

import (
	"net/http"
	"strconv"
	"strings"
	"time"
)

// keepAlive returns the idle timeout in a target's Keep-Alive header, given in
// seconds as "timeout=5" or "5". It reports false if the header has none.
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
