package settings

import (
	"encoding/hex"
	"fmt"

	"topazmoor/internal/strictjson"
)

// sha256Len is the length of a SHA-256 sum, in bytes.
const sha256Len = 32

func required(p *strictjson.Problems, path, v string) {
	if v == "" {
		p.Add(path, "is empty: write a name")
	}
}

func positive(p *strictjson.Problems, path string, v int64) {
	if v <= 0 {
		p.Add(path, "is not above zero: write a larger value or leave it out for the default")
	}
}

func isSHA256(s string) bool {
	b, err := hex.DecodeString(s)
	return err == nil && len(b) == sha256Len
}

func index(path string, i int) string {
	return fmt.Sprintf("%s[%d]", path, i)
}
