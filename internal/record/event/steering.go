package event

// The steering events.
const (
	DrainDelayed     Number = 3101
	DrainStarted     Number = 3102
	ReportRefused    Number = 3103
	ClockBackwards   Number = 3104
	TickGap          Number = 3105
	RegionBare       Number = 3106
	BadLimit         Number = 3107
	OwnerTaken       Number = 3108
	LoanRefused      Number = 3109
	InputMissing     Number = 3110
	ShiftCapped      Number = 3111
	TargetJoined     Number = 3112
	TargetLeaving    Number = 3113
	TargetGone       Number = 3114
	TargetResting    Number = 3115
	TargetCold       Number = 3116
	EntryJoined      Number = 3117
	EntryGone        Number = 3118
	TargetSlow       Number = 3119
	TargetLapsed     Number = 3120
	LeavingAnnounced Number = 3121
	TargetPaused     Number = 3122
	PauseEnded       Number = 3123
	QuotaOwner       Number = 3124
	CheckInvalid     Number = 3125
)

var steering = []Definition{
	{DrainDelayed, "drain-delayed", "a drain is delayed because it would leave a region with too few slots", "add targets or move the drain"},
	{DrainStarted, "drain-started", "a target receives no new requests because it is leaving", "none"},
	{ReportRefused, "report-refused", "a target's load report contains an impossible value and is ignored", "check the target's load endpoint"},
	{ClockBackwards, "clock-backwards", "the time of a tick of the steering loop is before that of the previous tick and is clamped to it", "check the VM's clock"},
	{TickGap, "tick-gap", "the process was paused; it sends no requests to targets until a peer has confirmed its incarnation, for at most 3 s", "check the VM's load"},
	{RegionBare, "region-bare", "the configuration has no targets of a service in this region", "add targets if the service should run here"},
	{BadLimit, "bad-limit", "a configured limit is negative or not a number and is treated as zero", "correct the configuration"},
	{OwnerTaken, "owner-taken", "this entry has become the owner of a target and sends no requests to it during the hold time", "none"},
	{LoanRefused, "loan-refused", "a loan of link capacity exceeds the lender's share or names unknown regions", "check the entries' versions"},
	{InputMissing, "input-missing", "a tick of the steering loop has no configuration and makes no decisions", "check that the entry reaches a peer or the store"},
	{ShiftCapped, "shift-capped", "requests from another region exceed the limit on shifting traffic and are refused", "none, or raise the limit"},
	{TargetJoined, "target-joined", "a target has registered or started again", "none"},
	{TargetLeaving, "target-leaving", "a target has announced that it is stopping and receives no new requests", "none"},
	{TargetGone, "target-gone", "a target's registration has ended", "none"},
	{TargetResting, "target-resting", "a target failed to respond and is avoided for a while", "check the target VM if it repeats"},
	{TargetCold, "target-cold", "a target may have just started and receives limited load until it has warmed up", "none"},
	{EntryJoined, "entry-joined", "another entry has registered", "none"},
	{EntryGone, "entry-gone", "another entry's registration has ended or it is leaving", "replace the VM if the platform has not done so"},
	{TargetSlow, "target-slow", "consecutive requests to a target time out; its objects are routed to targets with free capacity", "check the target VM if it repeats"},
	{TargetLapsed, "target-lapsed", "a target's registration expired while the store was unavailable; the target stays in use briefly because it may register again", "none"},
	{LeavingAnnounced, "leaving-announced", "a target's answer says that it is leaving; this incarnation receives no new requests from this entry, whatever the store says", "none; check the target VM if it stays registered as ready"},
	{TargetPaused, "target-paused", "a target rejected a request and named a time in which it wants no further ones; it receives none until then", "add targets if it repeats"},
	{PauseEnded, "pause-ended", "the time that a target named has passed; its objects return to it one after another", "none"},
	{QuotaOwner, "quota-owner", "the number of client accounts whose quota this entry owns in its region has changed", "none; check the key-value service if it stays 0 on all entries of a region"},
	{CheckInvalid, "check-invalid", "a target's answer to a health check is no valid answer; it was ignored and its connection closed", "check the target VM"},
}
