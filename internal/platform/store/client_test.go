package store_test

import (
	"context"
	"errors"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/goleak"

	"tamarackspool/internal/platform/store"
	standin "tamarackspool/internal/standin/store"
)

func newClient(t *testing.T, s *standin.Server) *store.Client {
	t.Helper()
	t.Cleanup(s.Close)
	return store.New("http://store/", "k", &http.Client{Transport: s.Transport()})
}

// Guards against a write that ignores its expected revision, and against keys that outlive their lease.
func TestPutAndLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := t.Context()
		c := newClient(t, standin.New(standin.Settings{Token: "k"}))
		lease, err := c.Grant(ctx, 3*time.Second)
		if err != nil {
			t.Fatal(err)
		}
		first, err := c.Put(ctx, "a/1", []byte("x"), 0, lease)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := c.Put(ctx, "a/1", []byte("y"), 0, 0); !errors.Is(err, store.ErrConflict) {
			t.Errorf("put over an existing key: %v", err)
		}
		if _, err := c.Put(ctx, "a/2", []byte("y"), 0, 0); err != nil {
			t.Error(err)
		}
		if err := c.Delete(ctx, "a/1", first+1); !errors.Is(err, store.ErrConflict) {
			t.Errorf("delete at another revision: %v", err)
		}
		if list, err := c.List(ctx, "a/"); err != nil || len(list) != 2 || list[0].Revision() != first {
			t.Errorf("List = %v, %v", list, err)
		}
		time.Sleep(2 * time.Second)
		if err := c.Renew(ctx, lease); err != nil {
			t.Error(err)
		}
		time.Sleep(2 * time.Second)
		if v, err := c.Get(ctx, "a/1"); err != nil || string(v.Data()) != "x" {
			t.Errorf("Get before the lease expired = %q, %v", v.Data(), err)
		}
		time.Sleep(time.Second)
		if _, err := c.Get(ctx, "a/1"); !errors.Is(err, store.ErrNotFound) {
			t.Errorf("Get after the lease expired: %v", err)
		}
		if err := c.Renew(ctx, lease); !errors.Is(err, store.ErrLeaseExpired) {
			t.Errorf("Renew after the lease expired: %v", err)
		}
		if _, err := c.Put(ctx, "b", make([]byte, store.MaxValueBytes+1), 0, 0); !errors.Is(err, store.ErrInvalidCall) {
			t.Errorf("put above the limit: %v", err)
		}
	})
}

// Guards against a write that may have taken effect but is reported as having none, and the reverse.
func TestWriteErrors(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := t.Context()
		s := standin.New(standin.Settings{Token: "k"})
		c := newClient(t, s)
		s.LoseResponses(1, "")
		if _, err := c.Put(ctx, "lost", nil, 0, 0); !errors.Is(err, store.ErrOutcomeUnknown) || errors.Is(err, store.ErrUnavailable) {
			t.Errorf("response lost: %v", err)
		}
		if _, err := c.Get(ctx, "lost"); err != nil {
			t.Errorf("the write whose response was lost: %v", err)
		}
		s.SetDelay(5 * time.Second)
		if _, err := c.Put(ctx, "slow", nil, 0, 0); !errors.Is(err, store.ErrOutcomeUnknown) {
			t.Errorf("slow: %v", err)
		}
		time.Sleep(5 * time.Second)
		s.SetDelay(0)
		if _, err := c.Get(ctx, "slow"); err != nil {
			t.Errorf("the slow write: %v", err)
		}
		s.SetDown(true)
		if _, err := c.Put(ctx, "down", nil, 0, 0); !errors.Is(err, store.ErrUnavailable) {
			t.Errorf("down: %v", err)
		}
	})
}

// Guards against calls above the rate limit that are served, or whose error does not match ErrRateLimited.
func TestRates(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := standin.New(standin.Settings{Token: "k", WritesPerSecond: 20})
		c := newClient(t, s)
		limited := 0
		for i := range 50 {
			_, err := c.Put(t.Context(), string(rune('A'+i)), nil, 0, 0)
			if errors.Is(err, store.ErrRateLimited) && errors.Is(err, store.ErrUnavailable) {
				limited++
			} else if err != nil {
				t.Fatal(err)
			}
			time.Sleep(10 * time.Millisecond)
		}
		n := s.Counts()
		if limited == 0 || n.Limited != uint64(limited) || n.Writes != uint64(50-limited) || n.Writes > 13 {
			t.Errorf("%d of 50 writes in 0.5 s refused at 20/s, counts %+v", limited, n)
		}
	})
}

// Guards against a watch that misses a change, or that hangs when the service sends no response.
func TestWatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := standin.New(standin.Settings{Token: "k"})
		c := newClient(t, s)
		go func() {
			time.Sleep(9 * time.Second)
			if _, err := c.Put(t.Context(), "w", []byte("1"), 0, 0); err != nil {
				t.Error(err)
			}
		}()
		began := time.Now()
		v, err := c.Watch(t.Context(), "w", 0)
		if err != nil || time.Since(began) != 9*time.Second || string(v.Data()) != "1" {
			t.Errorf("Watch = %q, %v after %v", v.Data(), err, time.Since(began))
		}
		s.SetWatchesSilent(true)
		began = time.Now()
		if _, err := c.Watch(t.Context(), "w", v.Revision()); !errors.Is(err, store.ErrWatchTimeout) || time.Since(began) != 5*time.Second {
			t.Errorf("silent watch: %v after %v", err, time.Since(began))
		}
		s.Restart(false)
	})
}

// Guards against a refused connection that is reported as an unknown outcome, and against a connection closed
// before the response that is reported as a write without effect.
func TestOverTCP(t *testing.T) {
	defer goleak.VerifyNone(t)
	ctx, cancel := context.WithCancel(t.Context())
	s := standin.New(standin.Settings{Token: "k"})
	r, err := standin.Listen(ctx, "127.0.0.1:0", s)
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan error)
	go func() { done <- r.Run(ctx) }()
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	c := store.New(r.URL(), "k", &http.Client{Transport: transport})
	s.LoseResponses(1, "")
	if _, err := c.Put(ctx, "a", nil, 0, 0); !errors.Is(err, store.ErrOutcomeUnknown) {
		t.Errorf("connection closed before the response: %v", err)
	}
	if _, err := c.Get(ctx, "a"); err != nil {
		t.Errorf("Get: %v", err)
	}
	if _, err := store.New(r.URL(), "wrong", &http.Client{Transport: transport}).Get(ctx, "a"); !errors.Is(err, store.ErrInvalidCall) {
		t.Errorf("wrong key: %v", err)
	}
	cancel()
	if err := <-done; err != nil {
		t.Error(err)
	}
	// On a reused connection the write may be sent before the close is noticed; a new connection is certainly refused.
	unconnected := store.New(r.URL(), "k", &http.Client{Transport: &http.Transport{}})
	if _, err := unconnected.Put(t.Context(), "b", nil, 0, 0); !errors.Is(err, store.ErrUnavailable) {
		t.Errorf("refused connection: %v", err)
	}
}
