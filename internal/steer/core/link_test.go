package core_test

import (
	"testing"
	"time"

	"tamarackspool/internal/config/document"
	"tamarackspool/internal/steer/table"
)

// Guards against a status that shows no use of a link that relays use.
func TestStatusShowsLinkUse(t *testing.T) {
	f := fields(8, 4)
	c := newCore()
	in := &table.Input{Document: document.New(f), Members: everyone(f), Confirmed: true}
	s := run(c, start, 20*time.Second, in)
	for at := start.Add(20100 * time.Millisecond); at.Before(start.Add(25 * time.Second)); at = at.Add(100 * time.Millisecond) {
		s.Link("marmara").TakeOut(at, 30_000)
		s.Link("marmara").TakeIn(at, 10_000)
		s = c.Step(at, in)
	}
	l := s.Status().Links[0]
	if l.Used < 290_000 || l.Used > 310_000 || l.Share != 1e6 {
		t.Errorf("use %d of a share of %d after 300000 bytes/s in the busier direction", l.Used, l.Share)
	}
}
