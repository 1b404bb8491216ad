package region

import "time"

// Crossing is the cost of serving work in another region than its own, as the time by which the
// work must end earlier there to be worth it. The zero value costs nothing.
type Crossing struct {
	// RoundTrip is the additional time of a message to the other region and its reply.
	RoundTrip time.Duration
	// PerMB is the price of 1,000,000 bytes between regions, as a time.
	PerMB time.Duration
}

// DefaultCrossing is the cost between regions that are some 12 ms apart.
var DefaultCrossing = Crossing{RoundTrip: 24 * time.Millisecond, PerMB: 100 * time.Millisecond}

// Cost returns the cost of a number of round trips and bytes between regions.
func (c Crossing) Cost(roundTrips int, bytes int64) time.Duration {
	return time.Duration(roundTrips)*c.RoundTrip + time.Duration(float64(bytes)/1e6*float64(c.PerMB))
}
