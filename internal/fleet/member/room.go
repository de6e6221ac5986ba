package member

import "time"

// Room is the number of free slots that an entry owns for a service.
type Room struct {
	entry   string
	service string
	free    int
	at      time.Time
}

// NewRoom returns the free slots of the entry for the service, known at the given time of the local clock.
func NewRoom(entry, service string, free int, at time.Time) Room {
	return Room{entry, service, free, at}
}

// Entry returns the name of the entry that owns the slots.
func (r Room) Entry() string { return r.entry }

// Service returns the service whose targets have the slots.
func (r Room) Service() string { return r.service }

// Free returns the number of free slots.
func (r Room) Free() int { return r.free }

// At returns when the figure was learned, by the local clock.
func (r Room) At() time.Time { return r.at }
