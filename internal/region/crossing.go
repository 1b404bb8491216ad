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

// DefaultCrossing is the Crossing of fleets whose settings have none: messages take 15 ms each way,
// and a request of 10 kB is worth the price if it ends 20 ms earlier.
var DefaultCrossing = Crossing{RoundTrip: 30 * time.Millisecond, PerMB: 2 * time.Second}

// Cost returns the cost of a number of round trips and bytes between regions.
func (c Crossing) Cost(roundTrips int, bytes int64) time.Duration {
	return time.Duration(roundTrips)*c.RoundTrip + time.Duration(float64(bytes)/1e6*float64(c.PerMB))
}
