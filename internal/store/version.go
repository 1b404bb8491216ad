package store

import (
	"cmp"
	"fmt"
	"log/slog"
)

// Version is an era and a commit number of the table service. The number rises with each commit of
// an era. A service that is restored from an older backup begins another era: commits made after
// the backup are lost, and their numbers are reused. Versions are compared only by the methods of
// this type. The zero Version is older than all others; a row that does not exist has it.
type Version struct {
	Era    int64 `json:"era,omitempty"`
	Number int64 `json:"number"`
}

// Compare returns -1, 0 or 1. It compares the eras first, then the numbers.
func (v Version) Compare(w Version) int {
	return cmp.Or(cmp.Compare(v.Era, w.Era), cmp.Compare(v.Number, w.Number))
}

// Before reports whether v is older than w.
func (v Version) Before(w Version) bool { return v.Compare(w) < 0 }

// Matches reports whether a condition on version v holds for a row at version w. Two versions of a
// row that does not exist are the same in all eras.
func (v Version) Matches(w Version) bool { return v == w || v.IsZero() && w.IsZero() }

// IsZero reports whether v has no commit number, as for a row that does not exist.
func (v Version) IsZero() bool { return v.Number == 0 }

// SameEra reports whether v and w are of the same era. Only then can changes lead from one to the
// other.
func (v Version) SameEra(w Version) bool { return v.Era == w.Era }

// MayPrecede reports whether v, read in a later era than w, may have been committed no later than
// the backup that the service was restored from, while w was committed after it and was lost: the
// number of v does not exceed that of w.
func (v Version) MayPrecede(w Version) bool { return !v.SameEra(w) && v.Number <= w.Number }

// String implements fmt.Stringer.
func (v Version) String() string { return fmt.Sprintf("%d/%d", v.Era, v.Number) }

// LogValue implements slog.LogValuer. It is the number alone in era 0, as for a store that
// reports no era.
func (v Version) LogValue() slog.Value {
	if v.Era == 0 {
		return slog.Int64Value(v.Number)
	}
	return slog.StringValue(v.String())
}

// Max returns the newer of v and w.
func (v Version) Max(w Version) Version {
	if v.Before(w) {
		return w
	}
	return v
}
