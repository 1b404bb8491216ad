package supervise

import (
	"context"
	"testing"

	"github.com/thejerf/suture/v4"
)

// printed is a service that must not be printed.
type printed struct{ t *testing.T }

func (p printed) Serve(context.Context) error { return suture.ErrDoNotRestart }

// GoString is what suture's name for a service without one calls.
func (p printed) GoString() string {
	p.t.Error("the supervisor printed the service")
	return ""
}

// TestSupervisorDoesNotReadItsServices: reading them was a data race with their own
// goroutines, found by the race detector in TestOracleBatches beside load.
func TestSupervisorDoesNotReadItsServices(t *testing.T) {
	suture.NewSimple("test").Add(Named("one", printed{t}))
}
