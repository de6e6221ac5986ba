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

var process = []Definition{
	{Started, "started", "the process has started", "none"},
	{Serving, "serving", "the entry has a configuration at or above its floor and serves requests", "none"},
	{Stopping, "stopping", "a graceful shutdown has begun; look-ups no longer return the entry", "none"},
	{Stopped, "stopped", "the process has finished its shutdown", "none"},
	{StopLimit, "stop-limit", "the graceful shutdown reached its time limit; requests in flight were aborted", "raise --stop-limit if requests are expected to take that long"},
	{Confirmed, "confirmed", "the entry uses its shares of the links and of the limits on shifting traffic, because a peer has confirmed its incarnation or it has reached no peer for 3 s", "none"},
	{HandedOver, "handed-over", "the outcomes of the entry's tickets were transferred to other entries", "none"},
	{HandoverLost, "handover-lost", "no other entry accepted the outcomes of the entry's tickets; repeated requests for them get the outcome may-have-run", "check that other entries of the region are running before stopping one"},
	{ListenerEnded, "listener-ended", "a listener ended with an error", "check the address and the limit on open files"},
	{RosterLost, "roster-lost", "the VM list does not respond; configuration and heartbeats are used instead", "check the platform"},
	{LinesDropped, "lines-dropped", "log lines were dropped because the buffer was full or the rate limit was exceeded", "check the process that reads the output; raise --log-rate if that process is fast enough"},
	{AcceptFailed, "accept-failed", "accepting a connection failed and is retried", "check the limit on open files"},
	{Stalled, "stalled", "the process did not run for a while; requests received before or during the pause do not count towards the retry budgets", "check the VM's CPU and whether the VM was suspended"},
}
