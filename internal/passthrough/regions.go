package passthrough

import (
	"topazmoor/internal/region"
	"topazmoor/internal/routes"
	"topazmoor/internal/verdict"
)

// regions returns where what is sent now of the request may be served: as the configuration in
// force says, or the one that the request came under where that no longer has its route or key.
func (c *call) regions() region.Set {
	if now := c.s.cfg.Routes(); now != nil && now != c.cfg {
		if route := now.Match(c.r.Host, c.path); route != nil && !c.lostKey(now, route) {
			return now.Regions(route, now.Account(c.meta.Credential))
		}
	}
	return c.admitted
}

// lostKey reports whether a configuration lacks the account of the request.
func (c *call) lostKey(cfg *routes.Config, route *routes.Route) bool {
	return cfg.Account(c.meta.Credential) == nil && (c.account != "" || cfg.NeedsKey(route))
}

// checkRegions notes where a request may be served, and refuses a request whose route and account have no region in common.
func (c *call) checkRegions() error {
	c.admitted = c.cfg.Regions(c.route, c.cfg.Account(c.meta.Credential))
	if c.admitted.Empty() {
		return c.deny(verdict.Forbidden, "the route and the client account have no region in common")
	}
	return nil
}
