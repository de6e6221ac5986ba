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
	KeysStale        Number = 2018
	KeysFresh        Number = 2019
)

var configuration = []Definition{
	{StoreUnavailable, "store-unavailable", "the key-value service does not respond", "check the platform; requests are still served, patches and new idempotency keys chosen by callers are refused"},
	{StoreRestored, "store-restored", "the key-value service responds again", "none"},
	{WatchSilent, "watch-silent", "a watch of the configuration had no response for 5 s and was replaced by a read", "none; check the platform if it repeats"},
	{VersionAdopted, "version-adopted", "this entry has adopted a newer version of the configuration", "none"},
	{VersionFork, "version-fork", "one version was received with two different contents", "compare the hashes of the entries and submit a new version"},
	{VersionInvalid, "version-invalid", "a received version does not match its hash or fails validation and was not adopted", "check that all entries run the same release"},
	{Isolated, "isolated", "neither the key-value service nor any peer can be reached", "check the network of the VM"},
	{BelowFloor, "below-floor", "the adopted configuration is older than one that this entry had before", "none if it lasts only seconds; otherwise check the key-value service and the peers"},
	{PeerRead, "peer-read", "the key-value service does not respond and a peer's newer copy was adopted", "check the platform if it persists"},
	{ItemInvalid, "item-invalid", "a value in the key-value service could not be decoded; the last valid value remains in use; logged once until the error changes", "correct the value; the error names the field"},
	{LeaseGranted, "lease-granted", "the entry is registered under a new lease", "none"},
	{LeaseLost, "lease-lost", "the entry's lease has expired; look-ups by other entries may omit it until it has registered again", "check the platform if it repeats"},
	{ZoneEvacuated, "zone-evacuated", "operators are draining an availability zone; its targets receive no new requests", "none"},
	{ZoneReturned, "zone-returned", "an availability zone is in use again", "none"},
	{ReloadIgnored, "reload-ignored", "a reload was requested; settings are only read at startup", "restart the entry to change its settings"},
	{ReaderLeft, "reader-left", "the entry that reads the key-value service on behalf of this one failed or has lost contact with it; this one reads it directly for a while", "none; check that entry if it repeats"},
	{RenewalFailed, "renewal-failed", "the entry's registration could not be created or renewed; it is retried within a second", "check the platform if it persists"},
	{KeysStale, "keys-stale", "this entry's copy of the callers' keys is too old for the bound on revoked keys; requests that need a key are refused", "check the key-value service and the network of the VM"},
	{KeysFresh, "keys-fresh", "this entry's copy of the callers' keys is fresh again", "none"},
}
