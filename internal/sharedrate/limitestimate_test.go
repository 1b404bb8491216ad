package sharedrate

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Answers may arrive out of order: an answer that may have been sent before the limit was
// advertised neither ends nor raises the limit.
func TestLateAnswersDoNotEndALimit(t *testing.T) {
	c := qt.New(t)
	at := func(s float64) time.Time { return time.Unix(1000, 0).Add(time.Duration(s * float64(time.Second))) }
	limited := func(rate float64) AdvertisedLimit { return AdvertisedLimit{Kind: Limited, PerSecond: rate} }
	none := AdvertisedLimit{Kind: Unlimited}
	var b LimitEstimate
	steps := []struct {
		word       AdvertisedLimit
		began, now float64
		changed    bool
		want       float64
	}{
		{none, 0, 1, false, -1},
		{limited(2), 1, 2, true, 2},
		{none, 1.5, 3, false, 2},
		{limited(5), 1.5, 3, false, 2},
		{limited(1), 1.5, 4, true, 1},
		{AdvertisedLimit{}, 5, 6, false, 1},
		{limited(3), 5, 6, true, 3},
		{none, 5.5, 7, false, 3},
		{none, 6.5, 7, true, -1},
		{limited(0), 1, 8, true, 0},
	}
	for i, s := range steps {
		c.Check(b.Observe(s.word, at(s.began), at(s.now)), qt.Equals, s.changed, qt.Commentf("step %d", i))
		got, ok := b.Limit()
		if !ok {
			got = -1
		}
		c.Check(got, qt.Equals, s.want, qt.Commentf("step %d", i))
	}
}
