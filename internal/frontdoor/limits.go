package frontdoor

import (
	"sync"
	"time"

	"golang.org/x/time/rate"

	"topazmoor/internal/catalog"
	"topazmoor/internal/verdict"
)

// accountLimits holds the rates and concurrency of the accounts that were
// active lately.
type accountLimits struct {
	share func() float64

	mu       sync.Mutex
	accounts map[string]*accountLimit
	sweep    time.Time
}

type accountLimit struct {
	limiter  *rate.Limiter
	rate     float64
	inFlight int
	used     time.Time
}

// idleAfter is how long an unused account is kept.
const idleAfter = time.Minute

func newAccountLimits(share func() float64) *accountLimits {
	return &accountLimits{share: share, accounts: make(map[string]*accountLimit)}
}

// enter takes one request of the account, or refuses it. The release function
// must be called once.
func (l *accountLimits) enter(acct *catalog.CompiledAccount, now time.Time) (release func(), err error) {
	if acct.RatePerSecond == 0 && acct.Concurrent == 0 {
		return func() {}, nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.removeIdle(now)
	a := l.account(acct)
	a.used = now
	if acct.Concurrent > 0 && a.inFlight >= acct.Concurrent {
		return nil, verdict.New(verdict.NotRun, verdict.RateLimited,
			"the account has %d requests in flight at this node", a.inFlight).After(time.Second)
	}
	if a.limiter != nil && !a.limiter.AllowN(now, 1) {
		return nil, verdict.New(verdict.NotRun, verdict.RateLimited,
			"the account is over its rate of %g requests a second", acct.RatePerSecond).After(a.wait(now))
	}
	a.inFlight++
	return func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		a.inFlight--
	}, nil
}

// account returns the state of an account with its node's share of the rate.
func (l *accountLimits) account(acct *catalog.CompiledAccount) *accountLimit {
	a := l.accounts[acct.Name]
	if a == nil {
		a = &accountLimit{}
		l.accounts[acct.Name] = a
	}
	r := acct.RatePerSecond * l.share()
	switch {
	case acct.RatePerSecond == 0:
		a.limiter = nil
	case a.limiter == nil:
		a.limiter = rate.NewLimiter(rate.Limit(r), burst(r))
	case a.rate != r:
		a.limiter.SetLimit(rate.Limit(r))
		a.limiter.SetBurst(burst(r))
	}
	a.rate = r
	return a
}

// burst allows one second's worth, at least one request.
func burst(r float64) int { return max(1, int(r)) }

// wait returns when the next request will be allowed.
func (a *accountLimit) wait(now time.Time) time.Duration {
	res := a.limiter.ReserveN(now, 1)
	defer res.CancelAt(now)
	return res.DelayFrom(now)
}

func (l *accountLimits) removeIdle(now time.Time) {
	if now.Before(l.sweep) {
		return
	}
	l.sweep = now.Add(idleAfter)
	for name, a := range l.accounts {
		if a.inFlight == 0 && now.Sub(a.used) > idleAfter {
			delete(l.accounts, name)
		}
	}
}
