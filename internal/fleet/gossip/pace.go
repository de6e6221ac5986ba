package gossip

import "time"

// smoothing is the weight of the newest round in the mean of bytes per round.
const smoothing = 0.05

// pace lengthens the interval and bounds the heartbeats per message so that the bytes sent stay under the budget.
type pace struct {
	shortest time.Duration
	budget   float64
	most     int
	interval time.Duration
	beats    int
	bytes    float64
	last     int64
}

func newPace(s Settings) pace {
	return pace{shortest: s.Interval, budget: float64(s.Budget), most: s.Beats, interval: s.Interval, beats: min(s.Beats, 8)}
}

// update takes the total of bytes sent so far and the number of members.
func (p *pace) update(sent int64, members int) {
	round := float64(sent - p.last)
	p.last = sent
	p.bytes += smoothing * (round - p.bytes)
	// The mean starts at zero, so that the greetings of a start do not lengthen the first intervals.
	// A tenth is kept free for greetings and records.
	need := time.Duration(p.bytes / (0.9 * p.budget) * float64(time.Second))
	p.interval = min(max(need, p.shortest), maxInterval)
	p.beats = min(p.most, max(8, members))
}
