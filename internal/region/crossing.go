package region

import "time"

// Crossing gives the cost of serving work in another region than its own, as a time: work goes there
// only if it would end earlier by more than that. With the zero value, another region costs nothing.
type Crossing struct {
	// RoundTrip is the additional time of a message to the other region and its reply, compared with
	// those within a region.
	RoundTrip time.Duration
	// PerMB is the price of 1,000,000 bytes that nodes send between regions, as a time. PerResultMB
	// is that of stage results, which targets read from each other.
	PerMB, PerResultMB time.Duration
}

// DefaultCrossing is the Crossing of fleets whose settings have none: messages take 12 ms each way, a
// request of 10 kB is worth its price if it ends 20 ms earlier, and results go over the network of the
// targets, which costs less.
var DefaultCrossing = Crossing{RoundTrip: 24 * time.Millisecond, PerMB: 2 * time.Second, PerResultMB: 100 * time.Millisecond}

// Cost returns the cost of a number of round trips and bytes between regions.
func (c Crossing) Cost(roundTrips int, bytes int64) time.Duration {
	return time.Duration(roundTrips)*c.RoundTrip + time.Duration(float64(bytes)/1e6*float64(c.PerMB))
}

// ResultCost returns the cost of a number of round trips and of the bytes of stage results between
// regions.
func (c Crossing) ResultCost(roundTrips int, bytes int64) time.Duration {
	return Crossing{RoundTrip: c.RoundTrip, PerMB: c.PerResultMB}.Cost(roundTrips, bytes)
}
