package history_test

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"tamarackspool/internal/config/codec"
	"tamarackspool/internal/config/document"
	"tamarackspool/internal/config/history"
	"tamarackspool/internal/platform/store"
	standin "tamarackspool/internal/standin/store"
)

// newHistory returns a stand-in store with the letters configuration as version 1, and a history stored in it.
func newHistory(t *testing.T) (*standin.Server, *history.History) {
	t.Helper()
	s := standin.New(standin.Settings{Token: "k"})
	t.Cleanup(s.Close) // a delayed call outlives its client and must end before the synctest bubble does
	h := open(s)
	data, err := os.ReadFile("../../../examples/letters.json")
	if err != nil {
		t.Fatal(err)
	}
	if r, err := h.Create(t.Context(), data, nil); err != nil || r.Version() != 1 {
		t.Fatalf("Create = version %d, %v", r.Version(), err)
	}
	return s, h
}

func open(s *standin.Server) *history.History {
	client := store.New("http://store", "k", &http.Client{Transport: s.Transport()})
	return history.New(history.Settings{Store: client})
}

// keepPatch returns a patch that sets the keep fraction of the first region.
func keepPatch(base uint64, id string, hundredths int) history.Patch {
	change := fmt.Sprintf(`[{"op":"replace","path":"/regions/0/keep","value":%.2f}]`, float64(hundredths)/100)
	return history.Patch{Base: base, ID: id, Author: "ayla", Reason: "test", Change: []byte(change)}
}

func submit(t *testing.T, h *history.History, p history.Patch, kind history.OutcomeKind, version uint64) history.Outcome {
	t.Helper()
	o, err := h.Submit(t.Context(), p)
	if err != nil || o.Kind() != kind || o.Version() != version {
		t.Fatalf("Submit(%s on %d) = %v version %d %q, %v; want %v version %d",
			p.ID, p.Base, o.Kind(), o.Version(), o.Reason(), err, kind, version)
	}
	return o
}

// Guards against an outcome that changes when the patch is submitted again, also long after the head has dropped its id.
func TestRepeatedPatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, h := newHistory(t)
		submit(t, h, keepPatch(1, "first", 1), history.Applied, 2)
		submit(t, h, keepPatch(1, "first", 2), history.Applied, 2)
		for v := uint64(2); v < 150; v++ {
			submit(t, h, keepPatch(v, fmt.Sprint("p", v), int(v)%40), history.Applied, v+1)
		}
		submit(t, h, keepPatch(1, "first", 1), history.Applied, 2)
		o := submit(t, h, keepPatch(140, "late", 1), history.Refused, 150)
		if c := o.Changes(); len(c) != 10 || c[0].Version() != 141 || c[0].ID() != "p140" {
			t.Errorf("changes since 140: %d", len(c))
		}
		checkAuditComplete(t, h, 150)
		client := store.New("http://store", "k", &http.Client{Transport: s.Transport()})
		if parts, err := client.List(t.Context(), "config/part/"); err != nil || len(parts) > 66 {
			t.Errorf("%d parts after 150 versions, %v; the first, the last 64 and at most one more are expected", len(parts), err)
		}
	})
}

// checkAuditComplete checks that the audit trail holds each version once and in order.
func checkAuditComplete(t *testing.T, h *history.History, last uint64) {
	t.Helper()
	list, err := h.Audit(t.Context(), 0)
	if err != nil || uint64(len(list)) != last-1 {
		t.Fatalf("%d audit records, want %d; %v", len(list), last-1, err)
	}
	for i, a := range list {
		if a.Version() != uint64(i)+2 {
			t.Fatalf("record %d is of version %d", i, a.Version())
		}
	}
}

// Guards against a lost response that is treated as a write without effect (fault: answer lost after the write).
func TestAnswerLostAfterWrite(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, h := newHistory(t)
		s.LoseResponses(1, "config/head")
		submit(t, h, keepPatch(1, "a", 1), history.Applied, 2)
		s.LoseResponses(1, "config/part/")
		submit(t, h, keepPatch(2, "b", 2), history.Applied, 3)
		checkAuditComplete(t, h, 3)
	})
}

// Guards against an outcome other than unknown when the store becomes unavailable after the write, and against
// one that a later submission with the same id does not resolve.
func TestUnknownOutcome(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, _ := newHistory(t)
		client := store.New("http://store", "k", &http.Client{Transport: s.Transport()})
		h := history.New(history.Settings{Store: client, Wait: func(context.Context, time.Duration) error {
			s.SetDown(true)
			return nil
		}})
		s.LoseResponses(1, "config/head")
		submit(t, h, keepPatch(1, "a", 1), history.Unknown, 0)
		s.SetDown(false)
		submit(t, h, keepPatch(1, "a", 1), history.Applied, 2)
	})
}

// Guards against an outcome without an error while the store is down.
func TestStoreDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, h := newHistory(t)
		s.SetDown(true)
		if o, err := h.Submit(t.Context(), keepPatch(1, "a", 1)); !errors.Is(err, store.ErrUnavailable) {
			t.Errorf("Submit = %v, %v", o.Kind(), err)
		}
		s.SetDown(false)
		submit(t, h, keepPatch(1, "a", 1), history.Applied, 2)
	})
}

// Guards against a write that takes effect after its call has timed out and is applied twice or lost (fault: slow).
func TestStoreSlow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, h := newHistory(t)
		s.SetDelay(1900 * time.Millisecond)
		submit(t, h, keepPatch(1, "a", 1), history.Applied, 2)
		s.SetDelay(3 * time.Second) // longer than the timeout of a call: the head cannot be read
		if _, err := h.Submit(t.Context(), keepPatch(2, "b", 2)); !errors.Is(err, store.ErrUnavailable) {
			t.Errorf("Submit = %v", err)
		}
		s.SetDelay(0)
		submit(t, h, keepPatch(2, "b", 2), history.Applied, 3)
		time.Sleep(10 * time.Second) // lets delayed calls end
		checkAuditComplete(t, h, 3)
	})
}

// Guards against two concurrent patches with one base that are both applied (fault: two racing patches).
func TestRacingPatches(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, h := newHistory(t)
		kinds := make(chan history.OutcomeKind, 2)
		for _, id := range []string{"a", "b"} {
			go func() {
				o, err := open(s).Submit(t.Context(), keepPatch(1, id, len(id)))
				if err != nil {
					t.Error(err)
				}
				if o.Kind() == history.Refused && (len(o.Changes()) != 1 || o.Changes()[0].ID() == id) {
					t.Errorf("changes of the refused patch: %v", o.Changes())
				}
				kinds <- o.Kind()
			}()
		}
		if a, b := <-kinds, <-kinds; a == b || a == history.Unknown || b == history.Unknown {
			t.Errorf("outcomes %v and %v, want one applied and one refused", a, b)
		}
		list, err := h.Refusals(t.Context())
		if err != nil || len(list) != 1 {
			t.Errorf("%d refusals, %v", len(list), err)
		}
	})
}

// Guards against a refusal because of a stale read after a restart of the store (fault: stale read).
func TestStaleRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, h := newHistory(t)
		submit(t, h, keepPatch(1, "a", 1), history.Applied, 2)
		s.Restart(true)
		submit(t, h, keepPatch(2, "b", 2), history.Applied, 3)
		s.Restart(true)
		submit(t, h, keepPatch(2, "b", 2), history.Applied, 3)
		submit(t, h, keepPatch(9, "c", 2), history.Refused, 3)
	})
}

// Guards against an invalid patch that is applied, or whose reason does not give the path and the limit.
func TestInvalidPatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, h := newHistory(t)
		for change, text := range map[string]string{
			`[{"op":"replace","path":"/targets/3/zone","value":"x"}]`:                                              "targets[3].zone",
			`[{"op":"add","path":"/drains/-","value":{"name":"d","region":"ege","start":"2026-12-04T02:00:00Z"}}]`: "leaves region ege 0 of 30 slots of service status",
			`[{"op":"replace","path":"/version","value":9}]`:                                                       "/version",
			`{}`: "RFC 6902",
			`[]`: "at least one",
			`[{"op":"add","path":"/blocks/-","value":"` + strings.Repeat("ab", 32) + `"}]`: "neither sent nor stored",
			`[{"op":"test","path":"/version","value":7},{"op":"remove","path":"/drains"}]`: "test",
		} {
			o := submit(t, h, history.Patch{Base: 1, ID: "x", Author: "ayla", Change: []byte(change)}, history.Refused, 1)
			if !strings.Contains(o.Reason(), text) {
				t.Errorf("%s: reason %q, want %q", change, o.Reason(), text)
			}
		}
		list, err := h.Refusals(t.Context())
		if err != nil || len(list) != 1 {
			t.Errorf("%d refusals of one id, %v", len(list), err)
		}
	})
}

// Guards against client address blocks that a version references but that cannot be read.
func TestBlocks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, h := newHistory(t)
		part := []byte(`[{"prefix":"10.1.0.0/16","zone":"ege-a"}]`)
		p := history.Patch{
			Base: 1, ID: "a", Author: "ayla", Blocks: [][]byte{part},
			Change: []byte(`[{"op":"add","path":"/blocks/-","value":"` + codec.PartName(part) + `"}]`),
		}
		submit(t, h, p, history.Applied, 2)
		r, err := h.Load(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		var blocks []document.ClientBlock
		if blocks, err = h.Blocks(t.Context(), r); err != nil || len(blocks) != 1 || blocks[0].Zone() != "ege-a" {
			t.Errorf("blocks = %v, %v", blocks, err)
		}
	})
}
