package frontdoor

import (
	"sync"
	"time"

	"golang.org/x/time/rate"

	"topazmoor/internal/catalog"
	"topazmoor/internal/verdict"
)

// accountLimits enforces the request rate and the concurrency of each account at this
// node. It holds state for recently active accounts only.
type accountLimits struct {
	// share returns the part of an account's rate that this node may use.
	share func() float64

	mu       sync.Mutex
	accounts map[string]*accountLimit
	// nextSweep is when idle accounts are removed next.
	nextSweep time.Time
}

// accountLimit is the state of one account. Its limiter is nil for an account without
// a rate; rate is the limiter's rate in requests a second.
type accountLimit struct {
	limiter  *rate.Limiter
	rate     float64
	inFlight int
	lastUsed time.Time
}

// idleAfter is the time after the last request at which the state of an account is
// removed.
const idleAfter = time.Minute

func newAccountLimits(share func() float64) *accountLimits {
	return &accountLimits{share: share, accounts: make(map[string]*accountLimit)}
}

// admit admits one request of the account, or refuses it. release must be called once
// when the request ends.
func (l *accountLimits) admit(acct *catalog.CompiledAccount, now time.Time) (release func(), err error) {
	if acct.RatePerSecond == 0 && acct.Concurrent == 0 {
		return func() {}, nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.removeIdle(now)
	a := l.account(acct)
	a.lastUsed = now
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

// account returns the state of an account, updated to this node's share of the
// current rate. The caller holds the lock.
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

// burst returns the number of requests of one second, at least 1.
func burst(r float64) int { return max(1, int(r)) }

// wait returns how long it takes until the next request is allowed.
func (a *accountLimit) wait(now time.Time) time.Duration {
	res := a.limiter.ReserveN(now, 1)
	defer res.CancelAt(now)
	return res.DelayFrom(now)
}

// removeIdle removes idle accounts, at most once per idleAfter. The caller holds the
// lock.
func (l *accountLimits) removeIdle(now time.Time) {
	if now.Before(l.nextSweep) {
		return
	}
	l.nextSweep = now.Add(idleAfter)
	for name, a := range l.accounts {
		if a.inFlight == 0 && now.Sub(a.lastUsed) > idleAfter {
			delete(l.accounts, name)
		}
	}
}
