package core_test

import (
	"testing"
	"time"

	"tamarackspool/internal/config/document"
	"tamarackspool/internal/steer/table"
)

// Guards against a status that does not show the bytes that relays send over a link.
func TestStatusShowsLinkUse(t *testing.T) {
	f := fields(8, 4)
	c := newCore()
	in := &table.Input{Document: document.New(f), Members: allAlive(f), Confirmed: true}
	s := run(c, start, 20*time.Second, in)
	for at := start.Add(20100 * time.Millisecond); at.Before(start.Add(25 * time.Second)); at = at.Add(100 * time.Millisecond) {
		s.Link("marmara").ChargeSent(at, 30_000)
		s.Link("marmara").ChargeReceived(at, 10_000)
		s = c.Step(at, in)
	}
	l := s.Status().Links[0]
	if l.Used < 290_000 || l.Used > 310_000 || l.Share != 1e6 {
		t.Errorf("use %d of a share of %d after 300000 bytes/s in the busier direction", l.Used, l.Share)
	}
}

// Guards against a link above its rate limit after a lender was replaced twice: the new process knows none of
// the earlier processes' loans and must not lend while these may be in use.
func TestNoLoansSoonAfterTheStart(t *testing.T) {
	f := fields(8, 4)
	in := &table.Input{Document: document.New(f), Members: allAlive(f), Confirmed: true}
	c := newCore()
	if l := run(c, start, 15*time.Second, in).Status().Links[0]; l.Lendable != 0 || l.Rate != 475_000 {
		t.Errorf("15 s after the start: %d may be lent at a rate of %d, want 0 and half of the share", l.Lendable, l.Rate)
	}
	if l := run(c, start.Add(15100*time.Millisecond), 2*time.Second, in).Status().Links[0]; l.Lendable == 0 || l.Rate != 950_000 {
		t.Errorf("17 s after the start: %d may be lent at a rate of %d, want more than 0 and the whole share", l.Lendable, l.Rate)
	}
}
