package passthrough

import (
	"context"
	"errors"

	"topazmoor/internal/targets"
)

// errReplaced is why a stream was ended at a target whose version is about to be stopped.
var errReplaced = errors.New("passthrough: another version replaces that of the target")

// continueElsewhere ends a stream at its target if the repeat budget allows that, so that the stream
// continues at a target of the version that replaces this one. Otherwise the stream stays at its target
// until either ends.
func (c *call) continueElsewhere(l *targets.Lease, cancel context.CancelCauseFunc) {
	allowed := c.s.cfg.Repeats.Take(c.ctx, c.service)
	c.log.Info("stream of a replaced version", "target", l.ID, "service", c.service, "version", l.Version, "continues", allowed)
	if allowed {
		cancel(errReplaced)
	}
}

// isReplaced reports whether a stream was ended because its target's version is replaced.
func isReplaced(ctx context.Context) bool { return errors.Is(context.Cause(ctx), errReplaced) }
