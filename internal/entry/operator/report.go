package operator

import "time"

type statusWire struct {
	Entry    string       `json:"entry"`
	Region   string       `json:"region"`
	Zone     string       `json:"zone"`
	At       time.Time    `json:"at"`
	Version  uint64       `json:"version"`
	Floor    uint64       `json:"floor"`
	Isolated bool         `json:"isolated"`
	Store    bool         `json:"store"`
	Roster   float64      `json:"roster"` // seconds
	Targets  []targetWire `json:"targets"`
	Regions  []regionWire `json:"regions"`
	Links    []linkWire   `json:"links"`
	Drains   []quietWire  `json:"drains"`
	Members  []memberWire `json:"members"`
}

type targetWire struct {
	Name    string  `json:"name"`
	Service string  `json:"service"`
	Zone    string  `json:"zone"`
	Owner   string  `json:"owner"`
	Busy    int     `json:"busy"`
	Limit   int     `json:"limit"`
	Slots   int     `json:"slots"`
	Trust   float64 `json:"trust"`
	Leaving bool    `json:"leaving"`
}

type regionWire struct {
	Name  string `json:"name"`
	Busy  int    `json:"busy"`
	Limit int    `json:"limit"`
	Free  int    `json:"free"`
}

type linkWire struct {
	From  string `json:"from"`
	To    string `json:"to"`
	Used  int64  `json:"used"`  // bytes/s
	Share int64  `json:"share"` // bytes/s
}

type quietWire struct {
	Name    string   `json:"name"`
	Targets []string `json:"targets"`
	Busy    int      `json:"busy"`
	Active  bool     `json:"active"`
	Quiet   bool     `json:"quiet"`
	Delayed string   `json:"delayed,omitempty"`
}

type memberWire struct {
	Name        string `json:"name"`
	Zone        string `json:"zone"`
	State       string `json:"state"`
	Incarnation string `json:"incarnation"`
	Version     uint64 `json:"version"`
}

func wireStatus(s Status) statusWire {
	return statusWire{
		Entry: s.Entry, Region: s.Region, Zone: s.Zone, At: s.At, Version: s.Version, Floor: s.Floor,
		Isolated: s.Isolated, Store: s.Store, Roster: s.Roster.Seconds(),
		Targets: each(s.Targets, func(t Target) targetWire { return targetWire(t) }),
		Regions: each(s.Regions, func(r Region) regionWire { return regionWire(r) }),
		Links:   each(s.Links, func(l Link) linkWire { return linkWire(l) }),
		Drains:  each(s.Drains, func(d Drain) quietWire { return quietWire(d) }),
		Members: each(s.Members, func(m Member) memberWire { return memberWire(m) }),
	}
}

func each[A, B any](list []A, f func(A) B) []B {
	out := make([]B, len(list))
	for i, v := range list {
		out[i] = f(v)
	}
	return out
}
