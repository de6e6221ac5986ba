package core_test

import (
	"fmt"
	"testing"
	"time"

	"tamarackspool/internal/config/document"
	"tamarackspool/internal/steer/decision"
	"tamarackspool/internal/steer/table"
)

// Guards against a service of low priority that uses the whole share of the region limit.
func TestReserveForMoreImportantServices(t *testing.T) {
	f := fields(8, 20)
	f.Services = append(f.Services, document.NewService(document.ServiceFields{Name: "drawings", Priority: 3}))
	for i := range 8 {
		f.Targets = append(f.Targets, document.NewTarget(document.TargetFields{
			Name: fmt.Sprintf("d%d", i), Service: "drawings", Zone: "ege-" + string(rune('a'+i%2)), Slots: 20,
		}))
	}
	f.Regions[0] = document.NewRegion(document.RegionFields{Name: "ege", MaxInFlight: 40, KeepFraction: 0.5})
	c := newCore()
	s := run(c, start, 60*time.Second, &table.Input{Document: document.New(f), Members: allAlive(f), Confirmed: true})
	now := start.Add(60 * time.Second)
	take := func(service string) (n int) {
		for draw := range uint64(30) {
			if _, err := s.Choose(decision.Request{Service: service, Now: now, Relayed: true}, draw); err == nil {
				n++
			}
		}
		return n
	}
	// The share is 10, of which a service of priority 3 may use seven tenths.
	if n := take("drawings"); n != 7 {
		t.Errorf("a service of priority 3 has %d requests in a share of 10, want 7", n)
	}
	if n := take("status"); n != 3 {
		t.Errorf("a service of priority 0 gets %d requests in addition, want the reserve of 3", n)
	}
}
