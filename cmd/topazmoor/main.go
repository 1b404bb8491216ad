// Command topazmoor serves multi-stage model pipelines. See README.md.
package main

import (
	"os"

	"topazmoor/internal/cli"
)

func main() {
	os.Exit(cli.Main(os.Args[1:], os.Stdout, os.Stderr))
}
