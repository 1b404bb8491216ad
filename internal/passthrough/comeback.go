package passthrough

import "time"

const (
	// startTime is when a caller may come back to a node that starts while the store answers
	// it: that takes a few calls of 5 ms and what another node tells.
	startTime = 300 * time.Millisecond
	// awayTime is the most that a caller is told to stay away while the store does not
	// answer a node that has nothing to go by. A caller comes back once or twice: who is told
	// startTime has used that up before the store is back.
	awayTime = 2 * time.Second
)

// comeBackUnready tells when a caller may come back to a node that lacks the configuration
// that the request needs.
//
// It answers the load of all callers after a loss of all nodes while the store is out of
// reach: nobody can be served until it is back, and nobody can say when that is. Late is
// better than refused again, so they are told as long as they heed, up to awayTime; who has
// little time, or no outage to wait for, comes back soon.
func comeBackUnready(patience time.Duration, storeAway bool) time.Duration {
	if !storeAway {
		return startTime
	}
	if patience <= 0 {
		patience = defaultPatience
	}
	return min(max(time.Duration(backShare*float64(patience)), startTime), awayTime)
}

// comeBackUnready tells it of this request.
func (c *call) comeBackUnready() time.Duration {
	return comeBackUnready(c.meta.Patience, c.s.cfg.StoreAway())
}
