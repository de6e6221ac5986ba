package gossip

import "time"

// The shares of the budget and the bounds of one message.
const (
	// smoothing is the weight of the newest round in the mean of bytes per round.
	smoothing = 0.05
	// rateMemory is the time that the mean rate of answers covers. Were it a number of rounds, the records of a start
	// would count for a minute in a large fleet, where rounds are long.
	rateMemory = 4 * time.Second
	// usable is the part of the budget that is planned; the rest is kept free for greetings and records.
	usable = 0.85
	// answerShare is the part of the budget that answers may take.
	answerShare = 0.5
	// leastAsked is the part of the planned budget that requests keep when answers need more than the rest.
	leastAsked = 0.35
	// answerBurst is how much of unused answer budget is kept, in seconds.
	answerBurst = 2
	// rowBytes is the usual size of a heartbeat in a message.
	rowBytes = 32
	// fewest is how many heartbeats a message may always carry.
	fewest = 8
)

// traffic is the bytes and answers sent since the start, configurations excepted.
type traffic struct {
	asked    int64 // bytes of requests and greetings
	answered int64 // bytes of answers
	answers  int64
}

// pace lengthens the interval and bounds the heartbeats per message so that the bytes sent stay under the budget.
//
// The interval is planned for one answer per round, whatever the number of peers that call. Were all bytes of answers
// counted, a longer interval would mean more answers per round and again a longer interval: an entry that many peers
// have in their view would end at the longest interval and learn of a new configuration that much later.
// Answers have a budget of their own instead and carry fewer heartbeats when it is used up.
type pace struct {
	shortest time.Duration
	budget   float64
	most     int
	interval time.Duration
	beats    int
	asked    float64 // mean bytes of requests per round
	answered float64 // mean bytes of one answer
	rate     float64 // mean bytes of answers per second
	last     traffic

	left    float64 // bytes that answers may still take; negative after an overdraft
	counted int64   // bytes of answers at the last look
	looked  time.Time
}

func newPace(s Settings) pace {
	return pace{shortest: s.Interval, budget: float64(s.Budget), most: s.Beats, interval: s.Interval, beats: min(s.Beats, fewest)}
}

// update takes the totals so far and the number of members.
func (p *pace) update(t traffic, members int) {
	// One round counts at most twice the budget of a second: the greetings of a
	// fleet that starts at once lengthened the interval of one entry of 12 to
	// 3.7 s for the next minute, and its peers and it took each other for dead.
	p.asked += smoothing * (min(float64(t.asked-p.last.asked), 2*p.budget) - p.asked)
	if n := t.answers - p.last.answers; n > 0 {
		p.answered += smoothing * (float64(t.answered-p.last.answered)/float64(n) - p.answered)
	}
	p.rate += min(0.5, p.interval.Seconds()/rateMemory.Seconds()) * (float64(t.answered-p.last.answered)/p.interval.Seconds() - p.rate)
	p.last = t
	// The means start at zero, so that the greetings of a start do not lengthen the first intervals.
	planned := usable * p.budget
	need := time.Duration(max(
		(p.asked+p.answered)/planned,
		p.asked/max(leastAsked*planned, planned-p.rate),
	) * float64(time.Second))
	p.interval = min(max(need, p.shortest), maxInterval)
	p.beats = min(p.most, max(fewest, members))
}

// allow returns how many heartbeats an answer may carry now; without any budget left it is the own one.
func (p *pace) allow(now time.Time, t traffic) int {
	rate := answerShare * usable * p.budget
	if p.looked.IsZero() {
		p.left = answerBurst * rate
	} else {
		p.left += rate * now.Sub(p.looked).Seconds()
	}
	p.left -= float64(t.answered - p.counted)
	p.left = min(max(p.left, -answerBurst*rate), answerBurst*rate)
	p.looked, p.counted = now, t.answered
	return min(p.beats, max(1, int(p.left/rowBytes)))
}

// refresh returns the interval that suspicion counts in. In a fleet larger than two messages can carry, one round
// cannot bring news of every member, so the interval grows with the rounds that a full pass takes.
func (p *pace) refresh(members int) time.Duration {
	return time.Duration(float64(p.interval) * max(1, float64(members)/float64(2*p.beats)))
}
