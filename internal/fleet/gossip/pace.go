package gossip

import "time"

// The shares of the budget and the limits of one message.
const (
	// smoothing is the weight of the latest sample in the moving averages of request and answer bytes.
	smoothing = 0.05
	// rateWindow is the time constant of the average rate of answer bytes. A number of rounds would not do: in a large
	// fleet rounds are long, and the records sent at a start would then count for a minute.
	rateWindow = 4 * time.Second
	// plannedShare is the share of the budget that is planned; the rest is headroom for handshakes and records.
	plannedShare = 0.85
	// answerShare is the share of the planned budget for answers.
	answerShare = 0.5
	// minRequestShare is the share of the planned budget that requests keep when answers need more than the rest.
	minRequestShare = 0.35
	// answerBurstSeconds is how many seconds of unused answer budget accumulate at most.
	answerBurstSeconds = 2
	// heartbeatBytes is the typical size of a heartbeat in a message.
	heartbeatBytes = 32
	// minHeartbeats is the lower limit of the planned number of heartbeats in a message.
	minHeartbeats = 8
)

// traffic is the total of bytes and answers sent since the start that count against the budget.
type traffic struct {
	requestBytes int64 // bytes of requests and handshakes
	answerBytes  int64 // bytes of answers
	answers      int64
}

// pacer adapts the interval between rounds and the number of heartbeats in a message to keep the bytes sent within the
// budget.
//
// The interval is planned for one answer per round, regardless of the number of peers that call. If all answer bytes
// counted, a longer interval would lead to more answers per round and so to an even longer interval: an entry that is in
// the view of many peers would end up at the maximum interval and receive a new configuration correspondingly late.
// Answers have a separate budget instead and carry fewer heartbeats when it is exhausted.
type pacer struct {
	minInterval      time.Duration
	budget           float64
	maxHeartbeats    int
	interval         time.Duration
	heartbeatLimit   int
	meanRequestBytes float64 // mean bytes of requests per round
	meanAnswerBytes  float64 // mean bytes of one answer
	meanAnswerRate   float64 // mean bytes of answers per second
	lastTraffic      traffic

	answerTokens float64 // bytes available for answers (token bucket); negative after an overdraft
	countedBytes int64   // answer bytes already deducted from answerTokens
	refilledAt   time.Time
}

func newPacer(s Settings) pacer {
	return pacer{minInterval: s.Interval, budget: float64(s.Budget), maxHeartbeats: s.MaxHeartbeats, interval: s.Interval, heartbeatLimit: min(s.MaxHeartbeats, minHeartbeats)}
}

// update plans the interval and the heartbeat limit from the traffic totals and the number of members.
func (p *pacer) update(t traffic, members int) {
	// One round counts for at most twice the budget of a second. Without this limit, the handshakes of a fleet of 12 that
	// started at once lengthened the interval of one entry to 3.7 s for the next minute, and it and its peers declared
	// each other dead.
	p.meanRequestBytes += smoothing * (min(float64(t.requestBytes-p.lastTraffic.requestBytes), 2*p.budget) - p.meanRequestBytes)
	if n := t.answers - p.lastTraffic.answers; n > 0 {
		p.meanAnswerBytes += smoothing * (float64(t.answerBytes-p.lastTraffic.answerBytes)/float64(n) - p.meanAnswerBytes)
	}
	p.meanAnswerRate += min(0.5, p.interval.Seconds()/rateWindow.Seconds()) * (float64(t.answerBytes-p.lastTraffic.answerBytes)/p.interval.Seconds() - p.meanAnswerRate)
	p.lastTraffic = t
	// The averages start at zero, so that the handshakes at the start do not lengthen the first intervals.
	planned := plannedShare * p.budget
	need := time.Duration(max(
		(p.meanRequestBytes+p.meanAnswerBytes)/planned,
		p.meanRequestBytes/max(minRequestShare*planned, planned-p.meanAnswerRate),
	) * float64(time.Second))
	p.interval = min(max(need, p.minInterval), maxInterval)
	p.heartbeatLimit = min(p.maxHeartbeats, max(minHeartbeats, members))
}

// answerHeartbeats returns how many heartbeats an answer may carry now; it is 1, the local entry's own, when the answer
// budget is exhausted.
func (p *pacer) answerHeartbeats(now time.Time, t traffic) int {
	rate := answerShare * plannedShare * p.budget
	if p.refilledAt.IsZero() {
		p.answerTokens = answerBurstSeconds * rate
	} else {
		p.answerTokens += rate * now.Sub(p.refilledAt).Seconds()
	}
	p.answerTokens -= float64(t.answerBytes - p.countedBytes)
	p.answerTokens = min(max(p.answerTokens, -answerBurstSeconds*rate), answerBurstSeconds*rate)
	p.refilledAt, p.countedBytes = now, t.answerBytes
	return min(p.heartbeatLimit, max(1, int(p.answerTokens/heartbeatBytes)))
}

// suspicionInterval returns the unit of time of the suspicion timeouts. If the fleet has more members than two messages can
// carry, one round cannot update every member, so the interval grows with the rounds needed for all of them.
func (p *pacer) suspicionInterval(members int) time.Duration {
	return time.Duration(float64(p.interval) * max(1, float64(members)/float64(2*p.heartbeatLimit)))
}
