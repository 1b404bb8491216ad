// Package supervise gives suture services a name. For a service without a name
// suture formats the whole value, which reads fields that the service's own
// goroutines may be writing.
package supervise

import (
	"context"

	"github.com/thejerf/suture/v4"
)

// Named returns a service that runs s and whose String method returns name.
func Named(name string, s suture.Service) suture.Service { return named{name, s} }

// named is a service with a name.
type named struct {
	name    string
	service suture.Service
}

// Serve implements suture.Service.
func (n named) Serve(ctx context.Context) error { return n.service.Serve(ctx) }

// String returns the name.
func (n named) String() string { return n.name }
