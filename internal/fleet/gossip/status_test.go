package gossip_test

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// Guards against a status that is altered in transit or has no size limit, against a late answer that closes the connection
// used by exchanges, and against a status that is sent to a peer without the shared key.
func TestStatusOfPeer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 2, 1)
		defer f.stop()
		time.Sleep(5 * time.Second)
		setStatus := func(text string, delay time.Duration) {
			status := func() []byte { time.Sleep(delay); return []byte(text) }
			f.nodes[1].status.Store(&status)
		}
		setStatus("\x00opaque", 0)
		if got, err := f.nodes[0].Status(t.Context(), address(1)); err != nil || string(got) != "\x00opaque" {
			t.Errorf("status %q, %v", got, err)
		}
		setStatus(strings.Repeat("x", 256<<10+1), 0)
		if got, err := f.nodes[0].Status(t.Context(), address(1)); err == nil {
			t.Errorf("a status of %d bytes was accepted", len(got))
		}
		setStatus("late", 1500*time.Millisecond)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		if _, err := f.nodes[0].Status(ctx, address(1)); err == nil {
			t.Error("a late status was accepted")
		}
		f.network.mu.Lock()
		before := len(f.network.dialed)
		f.network.mu.Unlock()
		time.Sleep(3 * time.Second)
		f.network.mu.Lock()
		after := len(f.network.dialed)
		f.network.mu.Unlock()
		if c := f.nodes[0].Counts(); after != before || c.TimedOutCalls != 0 {
			t.Errorf("%d connections before and %d after the late answer, counts %+v", before, after, c)
		}
		wrongKey := f.start(2, 1, 9, "another key")
		defer wrongKey.stop()
		if _, err := wrongKey.Status(t.Context(), address(1)); err == nil {
			t.Error("a peer with another key received the status")
		}
	})
}

// Guards against frequent status requests by an operator that lengthen the interval between exchanges until entries declare
// each other dead.
func TestStatusDoesNotSlowTheExchange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 16, 2)
		defer f.stop()
		for _, n := range f.nodes {
			status := func() []byte { return make([]byte, 4<<10) }
			n.status.Store(&status)
		}
		time.Sleep(time.Minute)
		// Compares means, because a single interval varies between 200 and 270 ms even without status requests.
		mean := func(call func()) (caller, callee time.Duration) {
			for range 30 {
				call()
				time.Sleep(time.Second)
				caller += f.nodes[0].Interval() / 30
				callee += f.nodes[1].Interval() / 30
			}
			return caller, callee
		}
		caller, callee := mean(func() {})
		duringCaller, duringCallee := mean(func() {
			for i := 1; i < len(f.nodes); i++ {
				if _, err := f.nodes[0].Status(t.Context(), address(i)); err != nil {
					t.Fatal(err)
				}
			}
		})
		t.Logf("mean intervals %v and %v before, %v and %v during the calls", caller, callee, duringCaller, duringCallee)
		if duringCaller > caller*5/4 || duringCallee > callee*5/4 {
			t.Errorf("mean intervals %v and %v before, %v and %v during the calls", caller, callee, duringCaller, duringCallee)
		}
	})
}
