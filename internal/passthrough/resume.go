package passthrough

import (
	"errors"
	"slices"
	"time"

	"topazmoor/internal/resume"
	"topazmoor/internal/routes"
	"topazmoor/internal/verdict"
)

// resumedStream returns the stream that the request is a part of. A caller that resumes a stream names the
// attempt that brought its first event.
func (c *call) resumedStream() resume.Stream {
	s := resume.Stream{ID: c.meta.ID, Service: c.service, Regions: c.regions(), Deadline: c.deadline, MaxAge: c.maxStreamAge()}
	if c.meta.LastEvent != "" {
		s.ID = c.meta.Resumes
	}
	return s
}

// returnMargin is how much longer than the timeout of its route a caller may take over all its attempts at a stream.
const returnMargin = 10 * time.Second

// maxStreamAge is how long ago a stream that its caller resumes may have begun.
func (c *call) maxStreamAge() time.Duration {
	timeout := c.route.Timeout
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	return timeout + returnMargin
}

// bindVersion binds a stream that its caller resumes to the version that began it. It refuses the request if
// that is not known, or if no target of the version is left: waiting would not help.
func (c *call) bindVersion() error {
	if c.route.Kind != routes.Stream || c.meta.LastEvent == "" {
		return nil
	}
	origin, err := c.s.cfg.Streams.Find(c.ctx, c.resumedStream())
	if errors.Is(err, resume.ErrUnconfirmed) {
		c.logResumed("known", false, "err", err)
		return notRun(verdict.StoreUnavailable, "the version of the targets that began the stream is not known yet").After(c.retryAfterUnready())
	}
	if err != nil {
		c.logResumed("known", false, "err", err)
		return notRun(verdict.StreamLost, "the version of the targets that began the stream is not known")
	}
	resumable := c.s.cfg.Targets.CanResume(origin.Service, origin.Version)
	routed := slices.ContainsFunc(c.route.Split, func(s routes.Share) bool { return s.Service == origin.Service })
	c.logResumed("known", true, "began_at", origin.Service, "version", origin.Version, "resumable", resumable, "routed", routed)
	if routed && !c.s.cfg.Targets.HasVersion(origin.Service, origin.Version) {
		return notRun(verdict.NoTarget, "version %q of %s, at which the stream began, is not in this node's list of targets yet", origin.Version, origin.Service).After(c.retryAfter())
	}
	if !resumable || !routed {
		return notRun(verdict.StreamLost, "the route has no target of version %q of %s left, at which the stream began", origin.Version, origin.Service)
	}
	c.service, c.version = origin.Service, &origin.Version
	return nil
}

func (c *call) logResumed(found ...any) {
	c.log.Info("stream resumed by its caller", append([]any{"resumes", c.meta.Resumes, "after_event", c.meta.LastEvent}, found...)...)
}

// recordVersion records the version that began the stream.
func (c *call) recordVersion(version string) {
	c.version = &version
	c.endStream = c.s.cfg.Streams.Begin(c.resumedStream(), version)
}
