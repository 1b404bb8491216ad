package passthrough

import (
	"bytes"
	"log/slog"
	"testing"

	qt "github.com/frankban/quicktest"

	"topazmoor/internal/promptcache"
)

func TestLogLinesNameThePartsOfAPrompt(t *testing.T) {
	c := qt.New(t)
	var b bytes.Buffer
	log := slog.New(slog.NewJSONHandler(&b, nil))
	log.Info("x", "parts", &Prompt{Parts: []promptcache.Part{{ID: 0x5c1e07a2}, {ID: 0xff}}})
	c.Check(b.String(), qt.Contains, `"parts":["5c1e07a2","ff"]`)
	b.Reset()
	log.Info("x", "parts", &Prompt{Parts: make([]promptcache.Part, maxLoggedParts+1)})
	c.Check(bytes.Count(b.Bytes(), []byte(`"0"`)), qt.Equals, maxLoggedParts)
	b.Reset()
	var none *Prompt
	log.Info("x", "parts", none)
	c.Check(b.String(), qt.Contains, `"parts":null`)
}
