// Package fixedseed sets the defaults of rapid's flags when it is imported: seed
// 1, and no files for failing cases. Flags of the command line take precedence.
// Test files import it for this side effect.
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
