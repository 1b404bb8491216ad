// Package examples embeds the example files, so that the demo needs no
// checkout.
package examples

import _ "embed"

// Harbour and Utility are manifests of templates and client accounts.
var (
	//go:embed harbour.hujson
	Harbour string
	//go:embed utility.hujson
	Utility string
)
