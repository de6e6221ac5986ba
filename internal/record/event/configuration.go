package event

// The configuration events.
const (
	StoreUnavailable Number = 2001
	StoreRestored    Number = 2002
	WatchSilent      Number = 2003
	VersionAdopted   Number = 2004
	VersionFork      Number = 2005
	VersionInvalid   Number = 2006
	Isolated         Number = 2007
	BelowFloor       Number = 2008
	PeerRead         Number = 2009
	ItemInvalid      Number = 2010
	LeaseGranted     Number = 2011
	LeaseLost        Number = 2012
	ZoneEvacuated    Number = 2013
	ZoneReturned     Number = 2014
	ReloadIgnored    Number = 2015
	ReaderLeft       Number = 2016
	RenewalFailed    Number = 2017
)

var configuration = []Entry{
	{StoreUnavailable, "store-unavailable", "the key-value service does not answer", "check the platform; requests go on, patches and new caller-chosen keys are refused"},
	{StoreRestored, "store-restored", "the key-value service answers again", "none"},
	{WatchSilent, "watch-silent", "a watch of the configuration gave no sign of life for 5 s and was replaced by a read", "none; check the platform if it repeats"},
	{VersionAdopted, "version-adopted", "a newer version of the configuration is in force in this entry", "none"},
	{VersionFork, "version-fork", "a version was received twice with different content", "compare the hashes of the entries and submit a new version"},
	{VersionInvalid, "version-invalid", "a received version does not match its hash or fails validation and was not adopted", "check that all entries run the same release"},
	{Isolated, "isolated", "neither the key-value service nor a peer can be reached", "check the network of the VM"},
	{BelowFloor, "below-floor", "the adopted configuration is older than one that this entry has had before", "none if it lasts seconds; else check the key-value service and the peers"},
	{PeerRead, "peer-read", "the key-value service is silent and a peer's newer copy was taken over", "check the platform if it lasts"},
	{ItemInvalid, "item-invalid", "a key of the key-value service could not be read; the last good value stays in force", "correct the value; the error names the field"},
	{LeaseGranted, "lease-granted", "the entry is registered under a new lease", "none"},
	{LeaseLost, "lease-lost", "the entry's lease has ended and look-ups of other entries may leave it out until it is registered again", "check the platform if it repeats"},
	{ZoneEvacuated, "zone-evacuated", "operators empty an availability zone; its targets get nothing new", "none"},
	{ZoneReturned, "zone-returned", "an availability zone is taken back into use", "none"},
	{ReloadIgnored, "reload-ignored", "a reload was asked for; settings are read at the start only", "restart the entry to change its settings"},
	{ReaderLeft, "reader-left", "the entry that reads the key-value service for this one failed or is out of touch; this one reads it itself for a while", "none; look at that entry if it repeats"},
	{RenewalFailed, "renewal-failed", "the entry's registration could not be renewed or made; it is tried again within a second", "check the platform if it lasts"},
}
