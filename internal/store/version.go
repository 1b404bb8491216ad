package store

import (
	"cmp"
	"fmt"
	"log/slog"
)

// Version is a commit number of the service. Numbers rise with each commit of an era. A service
// that comes back from an older copy of itself begins another era, in which it gives numbers
// out again: what was committed after the copy is gone. Versions are compared here and nowhere
// else; the zero Version is before all others, and that of a row that does not exist.
type Version struct {
	Era    int64 `json:"era,omitempty"`
	Number int64 `json:"number"`
}

// Compare returns -1, 0 or 1: the era goes first.
func (v Version) Compare(w Version) int {
	return cmp.Or(cmp.Compare(v.Era, w.Era), cmp.Compare(v.Number, w.Number))
}

// Before reports whether v is older than w.
func (v Version) Before(w Version) bool { return v.Compare(w) < 0 }

// Same reports whether a condition on v holds at w. That there is no row is the same in all eras.
func (v Version) Same(w Version) bool { return v == w || v.IsZero() && w.IsZero() }

// IsZero reports whether v is the version of nothing.
func (v Version) IsZero() bool { return v.Number == 0 }

// SameEra reports whether v is of the era of w, so that changes lead from one to the other.
func (v Version) SameEra(w Version) bool { return v.Era == w.Era }

// Predates reports whether v, of a later era, may be of the copy that the service came back from,
// or of before, while w is of the era that it lost: its number had not been reached yet.
func (v Version) Predates(w Version) bool { return !v.SameEra(w) && v.Number <= w.Number }

// String implements fmt.Stringer.
func (v Version) String() string { return fmt.Sprintf("%d/%d", v.Era, v.Number) }

// LogValue implements slog.LogValuer. A store that tells no era has numbers only.
func (v Version) LogValue() slog.Value {
	if v.Era == 0 {
		return slog.Int64Value(v.Number)
	}
	return slog.StringValue(v.String())
}

// Max returns the newer one.
func (v Version) Max(w Version) Version {
	if v.Before(w) {
		return w
	}
	return v
}
