// Package supervise names services for their supervisor. Without a name suture
// prints the whole service, which reads fields that the service's own goroutines
// may be writing.
package supervise

import (
	"context"

	"github.com/thejerf/suture/v4"
)

// Named returns a service under a name.
func Named(name string, s suture.Service) suture.Service { return named{name, s} }

type named struct {
	name    string
	service suture.Service
}

// Serve implements suture.Service.
func (n named) Serve(ctx context.Context) error { return n.service.Serve(ctx) }

// String returns the name.
func (n named) String() string { return n.name }
