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
	// One round counts at most twice the budget of a second: the greetings of a
	// fleet that starts at once lengthened the interval of one entry of 12 to
	// 3.7 s for the next minute, and its peers and it took each other for dead.
	round := min(float64(sent-p.last), 2*p.budget)
	p.last = sent
	p.bytes += smoothing * (round - p.bytes)
	// The mean starts at zero, so that the greetings of a start do not lengthen the first intervals.
	// A tenth is kept free for greetings and records.
	need := time.Duration(p.bytes / (0.9 * p.budget) * float64(time.Second))
	p.interval = min(max(need, p.shortest), maxInterval)
	p.beats = min(p.most, max(8, members))
}

// refresh returns the interval that suspicion counts in. In a fleet larger than two messages can carry, one round
// cannot bring news of every member, so the interval grows with the rounds that a full pass takes.
func (p *pace) refresh(members int) time.Duration {
	return time.Duration(float64(p.interval) * max(1, float64(members)/float64(2*p.beats)))
}
