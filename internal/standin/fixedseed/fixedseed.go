// Package fixedseed makes rapid use the same seed in every run unless the
// command line gives another. Import it for its effect in test files.
package fixedseed

import (
	"flag"

	_ "pgregory.net/rapid" // registers the flags set below
)

func init() {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}
