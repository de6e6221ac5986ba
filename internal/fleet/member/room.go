package member

import "time"

// FreeSlots is the number of free slots that an entry has for a service.
type FreeSlots struct {
	entry     string
	service   string
	count     int
	updatedAt time.Time
}

// NewFreeSlots returns the free slots of the entry for the service, learned at the given time of the local clock.
func NewFreeSlots(entry, service string, free int, at time.Time) FreeSlots {
	return FreeSlots{entry, service, free, at}
}

// Entry returns the name of the entry that holds the slots.
func (r FreeSlots) Entry() string { return r.entry }

// Service returns the service whose targets provide the slots.
func (r FreeSlots) Service() string { return r.service }

// Count returns the number of free slots.
func (r FreeSlots) Count() int { return r.count }

// UpdatedAt returns the time of the local clock at which the number was learned.
func (r FreeSlots) UpdatedAt() time.Time { return r.updatedAt }
