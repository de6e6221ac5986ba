package member

import "time"

// Room is the number of free slots that an entry has for a service.
type Room struct {
	entry     string
	service   string
	count     int
	updatedAt time.Time
}

// NewRoom returns the free slots of the entry for the service, learned at the given time of the local clock.
func NewRoom(entry, service string, free int, at time.Time) Room {
	return Room{entry, service, free, at}
}

// Entry returns the name of the entry that holds the slots.
func (r Room) Entry() string { return r.entry }

// Service returns the service whose targets provide the slots.
func (r Room) Service() string { return r.service }

// Free returns the number of free slots.
func (r Room) Free() int { return r.count }

// At returns the time of the local clock at which the number was learned.
func (r Room) At() time.Time { return r.updatedAt }
