package supervise

import (
	"context"
	"testing"

	"github.com/thejerf/suture/v4"
)

// unprintable is a service that fails its test when it is formatted with %#v.
type unprintable struct{ t *testing.T }

func (p unprintable) Serve(context.Context) error { return suture.ErrDoNotRestart }

// GoString is called when suture formats a service that has no name.
func (p unprintable) GoString() string {
	p.t.Error("the supervisor printed the service")
	return ""
}

// TestSupervisorDoesNotReadItsServices guards against a data race: formatting a service reads
// fields that the service's own goroutines write. The race detector found it in TestOracleBatches
// under load.
func TestSupervisorDoesNotReadItsServices(t *testing.T) {
	suture.NewSimple("test").Add(Named("one", unprintable{t}))
}
