package event

// The process events.
const (
	Started       Number = 1001
	Serving       Number = 1002
	Stopping      Number = 1003
	Stopped       Number = 1004
	StopLimit     Number = 1005
	Confirmed     Number = 1006
	HandedOver    Number = 1007
	HandoverLost  Number = 1008
	ListenerEnded Number = 1009
	RosterLost    Number = 1010
	LinesDropped  Number = 1011
	AcceptFailed  Number = 1012
	Stalled       Number = 1013
)

var process = []Entry{
	{Started, "started", "the process has started", "none"},
	{Serving, "serving", "the entry has a configuration at or above its floor and serves requests", "none"},
	{Stopping, "stopping", "a graceful shutdown has begun; look-ups no longer name the entry", "none"},
	{Stopped, "stopped", "the process has ended its work", "none"},
	{StopLimit, "stop-limit", "the graceful shutdown reached its hard limit; requests in flight were cut", "raise --stop-limit if requests are meant to take that long"},
	{Confirmed, "confirmed", "the entry uses its shares, confirmed by a peer or after 3 s without any peer", "none"},
	{HandedOver, "handed-over", "the outcomes of the entry's tickets were handed to other entries", "none"},
	{HandoverLost, "handover-lost", "no other entry took the outcomes of the tickets; repeats of orders are answered may-have-run", "check that other entries of the region run before stopping one"},
	{ListenerEnded, "listener-ended", "a listener ended with an error", "check the address and the limit of open files"},
	{RosterLost, "roster-lost", "the VM list does not answer; configuration and heartbeats decide", "check the platform"},
	{LinesDropped, "lines-dropped", "log lines were dropped for lack of room or beyond the rate limit", "look at what reads the output; raise --log-rate if it keeps up"},
	{AcceptFailed, "accept-failed", "a connection could not be accepted; it is tried again", "check the limit of open files"},
	{Stalled, "stalled", "the process stood still; what was taken before and meanwhile pays for no repeats", "look at the VM's processor, and for a suspension of the VM"},
}
