package gossip_test

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// Guards against a status that is changed on its way, that has no bound, or whose late answer costs the
// exchange its connection; and against one that is given to a peer without the key.
func TestStatusOfPeer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 2, 1)
		defer f.stop()
		time.Sleep(5 * time.Second)
		say := func(text string, pause time.Duration) {
			give := func() []byte { time.Sleep(pause); return []byte(text) }
			f.nodes[1].status.Store(&give)
		}
		say("\x00opaque", 0)
		if got, err := f.nodes[0].Status(t.Context(), address(1)); err != nil || string(got) != "\x00opaque" {
			t.Errorf("status %q, %v", got, err)
		}
		say(strings.Repeat("x", 256<<10+1), 0)
		if got, err := f.nodes[0].Status(t.Context(), address(1)); err == nil {
			t.Errorf("a status of %d bytes was taken", len(got))
		}
		say("late", 1500*time.Millisecond)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		if _, err := f.nodes[0].Status(ctx, address(1)); err == nil {
			t.Error("a late status was taken")
		}
		f.net.mu.Lock()
		before := len(f.net.conns)
		f.net.mu.Unlock()
		time.Sleep(3 * time.Second)
		f.net.mu.Lock()
		after := len(f.net.conns)
		f.net.mu.Unlock()
		if c := f.nodes[0].Counts(); after != before || c.Silent != 0 {
			t.Errorf("%d connections before and %d after the late answer, counts %+v", before, after, c)
		}
		stranger := f.start(2, 1, 9, "another key")
		defer stranger.stop()
		if _, err := stranger.Status(t.Context(), address(1)); err == nil {
			t.Error("a peer with another key got the status")
		}
	})
}

// Guards against an operator who follows the status and thereby lengthens the interval between exchanges, until
// entries take each other for dead.
func TestStatusDoesNotSlowTheExchange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 16, 2)
		defer f.stop()
		for _, n := range f.nodes {
			give := func() []byte { return make([]byte, 4<<10) }
			n.status.Store(&give)
		}
		time.Sleep(time.Minute)
		// Means, because a single interval varies between 200 and 270 ms without any call.
		mean := func(call func()) (asking, answering time.Duration) {
			for range 30 {
				call()
				time.Sleep(time.Second)
				asking += f.nodes[0].Interval() / 30
				answering += f.nodes[1].Interval() / 30
			}
			return asking, answering
		}
		asking, answering := mean(func() {})
		a, b := mean(func() {
			for i := 1; i < len(f.nodes); i++ {
				if _, err := f.nodes[0].Status(t.Context(), address(i)); err != nil {
					t.Fatal(err)
				}
			}
		})
		t.Logf("mean intervals %v and %v before, %v and %v during the calls", asking, answering, a, b)
		if a > asking*5/4 || b > answering*5/4 {
			t.Errorf("mean intervals %v and %v before, %v and %v during the calls", asking, answering, a, b)
		}
	})
}
