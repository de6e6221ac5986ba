package event

// The steering events.
const (
	DrainDelayed   Number = 3101
	DrainStarted   Number = 3102
	ReportRefused  Number = 3103
	ClockBackwards Number = 3104
	TickGap        Number = 3105
	RegionBare     Number = 3106
	BadLimit       Number = 3107
	OwnerTaken     Number = 3108
	LoanRefused    Number = 3109
	InputMissing   Number = 3110
	ShiftCapped    Number = 3111
	TargetJoined   Number = 3112
	TargetLeaving  Number = 3113
	TargetGone     Number = 3114
	TargetResting  Number = 3115
	TargetCold     Number = 3116
	EntryJoined    Number = 3117
	EntryGone      Number = 3118
	TargetSlow     Number = 3119
	TargetLapsed   Number = 3120
)

var steering = []Entry{
	{DrainDelayed, "drain-delayed", "a drain waits because a region would be left with too few slots", "add targets or move the drain"},
	{DrainStarted, "drain-started", "a target receives no new requests because it is leaving", "none"},
	{ReportRefused, "report-refused", "a target's report holds an impossible value and is not used", "check the target's load endpoint"},
	{ClockBackwards, "clock-backwards", "the time of a tick lies before that of the previous one and is clamped", "check the VM's clock"},
	{TickGap, "tick-gap", "the process was paused and its gates stay closed until its incarnation is confirmed", "check the VM's load"},
	{RegionBare, "region-bare", "the configuration has no targets of a service in this region", "add targets if the service should run here"},
	{BadLimit, "bad-limit", "a configured limit is negative or not a number and counts as zero", "correct the configuration"},
	{OwnerTaken, "owner-taken", "this entry has become the owner of a target and holds it", "none"},
	{LoanRefused, "loan-refused", "a loan of link share is larger than the lender's share or names unknown regions", "check the entries' versions"},
	{InputMissing, "input-missing", "a tick has no configuration and decides nothing", "check that the entry reaches a peer or the store"},
	{ShiftCapped, "shift-capped", "requests from another region exceed the cap on traffic movement and are refused", "none, or raise the cap"},
	{TargetJoined, "target-joined", "a target has registered or started again", "none"},
	{TargetLeaving, "target-leaving", "a target has announced its end and gets no new requests", "none"},
	{TargetGone, "target-gone", "a target's registration has ended", "none"},
	{TargetResting, "target-resting", "a target failed to answer and is passed over for a while", "check the target VM if it repeats"},
	{TargetCold, "target-cold", "a target may have just started and is paced until it has warmed up", "none"},
	{EntryJoined, "entry-joined", "another entry has registered", "none"},
	{EntryGone, "entry-gone", "another entry's registration has ended or it is leaving", "replace the VM if the platform has not done so"},
	{TargetSlow, "target-slow", "requests to a target pass their time in a row; its objects go where there is room", "check the target VM if it repeats"},
	{TargetLapsed, "target-lapsed", "a target's registration ended while the store was down; the target stays in use for a moment, as it may be back", "none"},
}
