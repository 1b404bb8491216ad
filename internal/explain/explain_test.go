package explain

import (
	"bytes"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

const logs = `  2.10 node-b {"time":"2026-03-05T05:41:12.5Z","level":"INFO","msg":"stage call","node":"node-b","target":"t","requests":["r2","r1"]}
{"time":"2026-03-05T05:41:12.1Z","level":"INFO","msg":"sent","node":"node-a","request":"r1","target":"e-1","left_ms":900}
{"time":"2026-03-05T05:41:12.9Z","level":"INFO","msg":"answered","node":"node-a","request":"r1","status":200}
{"time":"2026-03-05T05:41:12.9Z","level":"INFO","msg":"answered","node":"node-a","request":"r12","status":200}
{"time":"2026-03-05T05:41:12.9Z","level":"INFO","msg":"other","node":"node-a","request":"r3","target":"r1"}
{"time":"2026-03-05T05:41:12.9Z","level":"INFO","msg":"cut r1
r1 is named without JSON
`

func TestStepsOfOneRequestInOrder(t *testing.T) {
	c := qt.New(t)
	steps, skipped, err := Read(strings.NewReader(logs), "r1")
	c.Assert(err, qt.IsNil)
	c.Assert(skipped, qt.Equals, 2)
	Sort(steps)
	var out bytes.Buffer
	c.Assert(Write(&out, steps), qt.IsNil)
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	c.Assert(lines, qt.HasLen, 3)
	c.Assert(lines[0], qt.Contains, "sent")
	c.Assert(lines[0], qt.Contains, "target=e-1 left_ms=900")
	c.Assert(lines[1], qt.Contains, "+0.400s  node-b")
	c.Assert(lines[2], qt.Contains, "answered")
}

func TestStepShowsWhyAStageLeftItsRegion(t *testing.T) {
	c := qt.New(t)
	const line = `{"time":"2026-03-05T05:41:12.1Z","level":"INFO","msg":"order spilled to another region","node":"node-c","request":"r1","stage":1,"service":"drafts","region":"north","wait_ms":900,"due_ms":500,"to":"south","to_wait_ms":100,"cost_ms":84}`
	steps, _, err := Read(strings.NewReader(line), "r1")
	c.Assert(err, qt.IsNil)
	var out bytes.Buffer
	c.Assert(Write(&out, steps), qt.IsNil)
	c.Assert(out.String(), qt.Contains, "region=north wait_ms=900 due_ms=500 to=south to_wait_ms=100 cost_ms=84")
}

func FuzzRead(f *testing.F) {
	f.Add([]byte(logs))
	f.Fuzz(func(t *testing.T, b []byte) {
		steps, _, err := Read(bytes.NewReader(b), "r1")
		if err == nil {
			Sort(steps)
		}
	})
}
