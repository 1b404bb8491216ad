package passthrough

import (
	"topazmoor/internal/region"
	"topazmoor/internal/routes"
	"topazmoor/internal/verdict"
)

// regions returns the regions in which the request may be served from now on, by the
// configuration in force. If that no longer has the request's route or client account, the
// regions set at the arrival of the request apply.
func (c *call) regions() region.Set {
	if now := c.s.cfg.Routes(); now != nil && now != c.cfg {
		if route := now.Match(c.r.Host, c.path); route != nil && !c.accountRemoved(now, route) {
			return now.Regions(route, now.Account(c.meta.Credential))
		}
	}
	return c.admitted
}

// accountRemoved reports whether a configuration lacks the client account that the request
// needs.
func (c *call) accountRemoved(cfg *routes.Config, route *routes.Route) bool {
	return cfg.Account(c.meta.Credential) == nil && (c.account != "" || cfg.NeedsKey(route))
}

// checkRegions stores the regions in which the request may be served. It refuses a request
// whose route and client account have no region in common.
func (c *call) checkRegions() error {
	c.admitted = c.cfg.Regions(c.route, c.cfg.Account(c.meta.Credential))
	if c.admitted.Empty() {
		return c.deny(verdict.Forbidden, "the route and the client account have no region in common")
	}
	return nil
}
