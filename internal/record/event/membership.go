package event

// The membership events.
const (
	MemberSuspect         Number = 3001
	MemberAlive           Number = 3002
	MemberDead            Number = 3003
	MemberLeaving         Number = 3004
	IncarnationContested  Number = 3007
	IncarnationSuperseded Number = 3008
	RegionLost            Number = 3005
	RegionReturned        Number = 3006
	PeerRefused           Number = 3009
	PeerSilent            Number = 3010
	ConfigurationDiffers  Number = 3011
	NoPeer                Number = 3012
	TicketsTaken          Number = 3013
)

var membership = []Definition{
	{MemberSuspect, "member-suspect", "no heartbeat of an entry has arrived for a short time", "none; check the network if many entries are suspect"},
	{MemberAlive, "member-alive", "a heartbeat of a suspect or dead entry has arrived", "none"},
	{MemberDead, "member-dead", "an entry has sent no heartbeat and is removed from use", "replace the VM if the platform has not done so"},
	{MemberLeaving, "member-leaving", "an entry has announced that it is stopping", "none"},
	{IncarnationContested, "incarnation-contested", "a peer knows another incarnation of this entry's name", "check that only one process runs under this name"},
	{IncarnationSuperseded, "incarnation-superseded", "a newer incarnation of this entry's name is running", "stop this process"},
	{RegionLost, "region-lost", "no heartbeat arrives from any entry of a region", "check the links to the region"},
	{RegionReturned, "region-returned", "heartbeats arrive again from entries of a lost region", "none"},
	{PeerRefused, "peer-refused", "the other end of a connection does not have the peer key", "compare TAMARACK_PEER_KEY on both entries"},
	{PeerSilent, "peer-silent", "a peer did not respond in time and its connection was closed", "check the network path if it repeats"},
	{ConfigurationDiffers, "configuration-differs", "a peer holds the same configuration version with another hash", "compare both entries with the store"},
	{NoPeer, "no-peer", "a starting entry has reached no peer", "check the configured peer addresses"},
	{TicketsTaken, "tickets-taken", "this entry has taken over the tickets of a stopped entry and answers requests for them", "none"},
}
