package event

// The request events.
const (
	TargetLost       Number = 4002
	ConnectionSilent Number = 4003
	AnswerCut        Number = 4004
	RequestPlaced    Number = 4005
	RequestAnswered  Number = 4006
	RequestRepeated  Number = 4007
	RequestRefused   Number = 4008
	RequestTimedOut  Number = 4009
	CallerLeft       Number = 4010
	RequestFailed    Number = 4011
	RequestUnknown   Number = 4012
	RequestShed      Number = 4013

	RequestUnauthorized Number = 4014
	QuotaExceeded       Number = 4015
	QuotaUnreachable    Number = 4016
	RequestMoved        Number = 4017
	RequestHedged       Number = 4018
	HedgeWithheld       Number = 4019
	QueryInvalid        Number = 4020
)

var request = []Definition{
	{TargetLost, "target-lost", "a target does not respond", "check the target VM"},
	{ConnectionSilent, "connection-silent", "an open connection delivers no bytes; it and the older connections to the same address were closed", "check the network between the entry and the address if it repeats"},
	{AnswerCut, "answer-cut", "a response ended before it was complete", "check the target VM"},
	{RequestPlaced, "request-placed", "a request was sent to a target; the line contains the reasons for the choice", "none"},
	{RequestAnswered, "request-answered", "a target's response was forwarded to the caller", "none"},
	{RequestRepeated, "request-repeated", "a request is retried on a second target, or would be if the retry budget allowed it", "check the first target if it repeats"},
	{RequestRefused, "request-refused", "a request was refused and has not run", "read the reason; add targets if it is a lack of capacity"},
	{RequestTimedOut, "request-timed-out", "a request had no response before its deadline", "check the load of the named target"},
	{CallerLeft, "caller-left", "the caller closed its connection before the response", "none"},
	{RequestFailed, "request-failed", "a request ended without a complete response and may have run", "check the named target"},
	{RequestUnknown, "request-unknown", "no rule of the adopted configuration matches the request", "compare the version with the newest committed one"},
	{RequestShed, "request-shed", "a target confirmed that it has not run the request: it was at capacity, or another target has its address", "none; check the target's load in the line"},
	{RequestUnauthorized, "request-unauthorized", "a request was answered 401 because its key selects no account; it has not run", "compare the version with the newest committed one if the caller's key should be valid"},
	{QuotaExceeded, "quota-exceeded", "a request was answered 429 because its account has used its quota; it has not run", "none; raise the account's quota if it is meant to send more"},
	{QuotaUnreachable, "quota-unreachable", "a request was refused because no owner of its account's quota can be reached; it has not run", "check the links of the VM and the key-value service if it repeats"},
	{RequestMoved, "request-moved", "the chosen target is not expected to answer the request in time, so it goes to another of its object's targets", "none; add targets if it repeats"},
	{RequestHedged, "request-hedged", "a second copy of a request was sent to another target because the first one is unanswered for unusually long", "check the first target if it repeats"},
	{HedgeWithheld, "hedge-withheld", "a request is unanswered for unusually long, but no second copy was sent; at most one line per second and service", "none; read the reason"},
	{QueryInvalid, "query-invalid", "the answer to a query about an attempt or to a probe of a connection is no valid response; nothing in it was believed, and its connection was closed; at most one line per second", "check the VM at the address"},
}
