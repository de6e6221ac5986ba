package event

// The steering events.
const (
	DrainDelayed Number = 3101
)

var steering = []Entry{
	{DrainDelayed, "drain-delayed", "a drain waits because a region would be left with too few slots", "add targets or move the drain"},
}
