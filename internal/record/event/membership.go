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

var membership = []Entry{
	{MemberSuspect, "member-suspect", "an entry has not been heard from for a short while", "none; look at the network when many entries are suspect"},
	{MemberAlive, "member-alive", "a suspect or dead entry is heard from again", "none"},
	{MemberDead, "member-dead", "an entry has not been heard from and is taken out", "replace the VM if the platform has not done so"},
	{MemberLeaving, "member-leaving", "an entry has announced its stop", "none"},
	{IncarnationContested, "incarnation-contested", "a peer knows another incarnation of this entry's name", "check that only one process runs under the name"},
	{IncarnationSuperseded, "incarnation-superseded", "a newer incarnation of this entry's name is running", "stop this process"},
	{RegionLost, "region-lost", "no entry of a region is heard from", "check the links to the region"},
	{RegionReturned, "region-returned", "entries of a lost region are heard from again", "none"},
	{PeerRefused, "peer-refused", "the other end of a connection does not know the peer key", "compare TAMARACK_PEER_KEY on both entries"},
	{PeerSilent, "peer-silent", "a peer did not answer in time and its connection was closed", "check the network path when it repeats"},
	{ConfigurationDiffers, "configuration-differs", "a peer holds the same configuration version with another hash", "compare both entries with the store"},
	{NoPeer, "no-peer", "a starting entry has reached no peer", "check the configured peer addresses"},
	{TicketsTaken, "tickets-taken", "this entry answers for the tickets of a stopped one", "none"},
}
