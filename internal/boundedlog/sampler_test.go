package boundedlog

import (
	"bytes"
	"encoding/json"
	"fmt"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

// line holds the fields of a log line that the tests check.
type line struct {
	Msg     string
	Request string
	Skipped int
}

func linesOf(c *qt.C, b []byte) []line {
	var out []line
	dec := json.NewDecoder(bytes.NewReader(b))
	for dec.More() {
		var l line
		c.Assert(dec.Decode(&l), qt.IsNil)
		out = append(out, l)
	}
	return out
}

func TestRepeatedLinesAreSampledAndCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		var out bytes.Buffer
		log := slog.New(NewSampler(slog.NewJSONHandler(&out, nil)))
		const lines = 10 * linesPerSecond
		for range lines {
			log.Info("repeated")
		}
		log.Warn("rare")
		time.Sleep(time.Second)
		log.Info("repeated")
		got := linesOf(c, out.Bytes())
		passed, skipped := 0, 0
		for _, l := range got {
			if l.Msg == "repeated" {
				passed++
				skipped += l.Skipped
			}
		}
		c.Assert(passed+skipped, qt.Equals, lines+1)
		c.Assert(passed < 2*lines/sampleOneIn+linesPerSecond, qt.IsTrue, qt.Commentf("%d", passed))
		c.Assert(got[len(got)-2].Msg, qt.Equals, "rare")
	})
}

// Beyond linesPerSecond all lines of a sampled request pass, on every node, and no lines of the
// other requests.
func TestRequestsAreKeptWhole(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		kept := make([]map[string]int, 2)
		for node := range kept {
			var out bytes.Buffer
			log := slog.New(NewSampler(slog.NewJSONHandler(&out, nil)))
			for range linesPerSecond {
				log.Info("sent")
				log.Info("answered")
			}
			for i := range 1000 {
				l := log.With("request", fmt.Sprint("r", i)).With("node", node)
				l.Info("sent")
				l.Info("answered")
			}
			kept[node] = make(map[string]int)
			for _, l := range linesOf(c, out.Bytes()) {
				if l.Request != "" {
					kept[node][l.Request]++
				}
			}
		}
		c.Assert(kept[0], qt.DeepEquals, kept[1])
		c.Assert(len(kept[0]) > 50, qt.IsTrue)
		for id, n := range kept[0] {
			c.Assert(n, qt.Equals, 2, qt.Commentf("%s", id))
		}
	})
}
