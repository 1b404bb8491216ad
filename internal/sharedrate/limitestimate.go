// Package sharedrate enforces rate limits that all nodes share: it tracks the limit that a target
// advertises in its answers, and divides it among the nodes by permits, each of which allows one
// request in a short period.
package sharedrate

import "time"

// AdvertisedLimit is the limit that one answer of a target advertises: the rate of requests that the
// target takes from all nodes together. The zero value carries no information.
type AdvertisedLimit struct {
	Kind Kind
	// PerSecond is the rate if Kind is Limited, in requests per second.
	PerSecond float64
}

// Kind is the kind of an AdvertisedLimit.
type Kind uint8

// The kinds of an AdvertisedLimit.
const (
	// NoInfo: the answer carries no information about the limit.
	NoInfo Kind = iota
	// Unlimited: the answer advertises no limit.
	Unlimited
	// Limited: the answer advertises a limit.
	Limited
)

// LimitEstimate is a node's estimate of the limit of one target process, from the answers that the
// node received. The zero value means no limit. It must not be used concurrently.
type LimitEstimate struct {
	limited   bool
	perSecond float64
	// limitedSince is when the process first advertised a limit, confirmedAt when it last
	// advertised the current one.
	limitedSince, confirmedAt time.Time
}

// Observe updates the estimate by the limit in an answer that was received at now to a call that
// began at began. It reports whether the estimate changed.
//
// Answers may arrive out of order. A lower rate applies at once. A higher rate, or none, applies
// only if the call began after the limit was last confirmed: any other answer may have been sent
// before.
func (b *LimitEstimate) Observe(w AdvertisedLimit, began, now time.Time) (changed bool) {
	switch {
	case w.Kind == NoInfo:
		return false
	case w.Kind == Limited && !b.limited:
		*b = LimitEstimate{limited: true, perSecond: w.PerSecond, limitedSince: now, confirmedAt: now}
		return true
	case w.Kind == Limited && w.PerSecond <= b.perSecond:
		changed = w.PerSecond < b.perSecond
		b.perSecond, b.confirmedAt = w.PerSecond, now
		return changed
	case !b.limited || !began.After(b.confirmedAt):
		return false
	case w.Kind == Limited:
		b.perSecond, b.confirmedAt = w.PerSecond, now
		return true
	}
	*b = LimitEstimate{}
	return true
}

// Limit returns the estimated limit in requests per second; limited is false for none.
func (b *LimitEstimate) Limit() (perSecond float64, limited bool) { return b.perSecond, b.limited }

// ConfirmedAt returns when the limit was last confirmed.
func (b *LimitEstimate) ConfirmedAt() time.Time { return b.confirmedAt }

// ObserveEnd applies the report of another node that it observed the end of the limit at the time
// at, and reports whether the estimate changed. The report counts only if it is at least
// maxMessageDelay newer than the last confirmation, as its time may be off by the delay of a
// message.
func (b *LimitEstimate) ObserveEnd(at time.Time) (changed bool) {
	if !b.limited || at.Sub(b.confirmedAt) < maxMessageDelay {
		return false
	}
	*b = LimitEstimate{}
	return true
}

// maxMessageDelay is an upper bound for the delay of a message between nodes.
const maxMessageDelay = 250 * time.Millisecond

// LimitedSince returns when the process first advertised a limit, since it last had none.
func (b *LimitEstimate) LimitedSince() time.Time { return b.limitedSince }
