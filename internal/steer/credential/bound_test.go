package credential_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"tamarackspool/internal/steer/credential"
)

const (
	revoke   = 5 * time.Second
	toSend   = revoke / 10 // toSend is the longest time from a decision to the first byte.
	keyCount = 2
	nodes    = 3 // The first reads the store, the others read from any entry.
)

// world is a store with versions of a configuration, and entries that copy them.
type world struct {
	now      time.Duration
	versions []version
	entries  [nodes]entry
}

// version is the set of valid keys from a moment on.
type version struct {
	since time.Duration
	keys  [keyCount]bool
}

// entry has a copy of a version, a call for a newer one, and a request.
type entry struct {
	version   int           // version is the index of the copy; 0 is a version without keys.
	confirmed time.Duration // confirmed is a moment at which the copy was the newest version.
	call      *call
	knowledge *credential.Knowledge // knowledge is what a request was read under.
	key       int
}

type call struct {
	source    int // source is the entry asked, or -1 for the store.
	began     time.Duration
	answered  bool
	version   int
	confirmed time.Duration
}

// answer makes the answer to a call. A peer states its age and how long it held the call, which is at most the time that
// has passed.
func (w *world) answer(c *call, held time.Duration) {
	c.answered = true
	if c.source < 0 {
		c.version, c.confirmed = len(w.versions)-1, c.began
		return
	}
	peer := w.entries[c.source]
	c.version, c.confirmed = peer.version, c.began+held-(w.now-peer.confirmed)
}

// revokedBefore returns how long before the moment the newest version that lacks the key was acknowledged; 0 if the key
// is valid then, or if the version is still to come.
func (w *world) revokedBefore(key int, at time.Duration) time.Duration {
	var revoked time.Duration
	isRevoked := false
	for _, v := range w.versions {
		if v.since > at {
			break
		}
		if !v.keys[key] && !isRevoked {
			revoked = v.since
		}
		isRevoked = !v.keys[key]
	}
	if !isRevoked {
		return 0
	}
	return at - revoked
}

// Guards against a request that runs with a key that was revoked longer than the bound before it was sent: after a
// disconnection, a pause between any two steps, a restart with a peer's copy, or behind a reader whose copy is old.
func TestRevokedKeysAreNotActedOnBeyondTheBound(t *testing.T) {
	bound := credential.NewBound(revoke)
	ran := 0
	rapid.Check(t, func(t *rapid.T) {
		w := world{versions: make([]version, 1), now: time.Hour}
		for range rapid.IntRange(500, 2000).Draw(t, "steps") {
			w.now += time.Duration(rapid.IntRange(0, 200).Draw(t, "ms")) * time.Millisecond
			if rapid.IntRange(0, 15).Draw(t, "pause") == 0 {
				w.now += time.Duration(rapid.IntRange(0, 6000).Draw(t, "pause in ms")) * time.Millisecond
			}
			i := rapid.IntRange(0, nodes-1).Draw(t, "entry")
			e := &w.entries[i]
			switch rapid.SampledFrom([]string{"configure", "call", "call", "answer", "answer", "apply", "apply", "lose", "restart", "read", "read", "send", "send", "send"}).Draw(t, "step") {
			case "configure":
				next := version{since: w.now, keys: w.versions[len(w.versions)-1].keys}
				changed := rapid.IntRange(0, keyCount-1).Draw(t, "key")
				next.keys[changed] = !next.keys[changed]
				w.versions = append(w.versions, next)
			case "call":
				e.call = &call{source: -1, began: w.now}
				if i > 0 {
					e.call.source = rapid.IntRange(0, nodes-1).Draw(t, "source")
				}
			case "answer":
				if e.call != nil && !e.call.answered {
					w.answer(e.call, time.Duration(rapid.Float64Range(0, 1).Draw(t, "held")*float64(w.now-e.call.began)))
				}
			case "apply":
				if c := e.call; c != nil && c.answered {
					e.version, e.confirmed, e.call = max(e.version, c.version), max(e.confirmed, c.confirmed), nil
				}
			case "lose":
				e.call = nil
			case "restart":
				*e = entry{}
			case "read":
				e.knowledge, e.key = &credential.Knowledge{Age: w.now - e.confirmed, At: w.now}, rapid.IntRange(0, keyCount-1).Draw(t, "key")
			case "send":
				if e.knowledge == nil {
					continue
				}
				verdict := bound.Decide(*e.knowledge, w.now, w.versions[e.version].keys[e.key])
				e.knowledge = nil
				sent := w.now + time.Duration(rapid.IntRange(0, int(toSend)).Draw(t, "to send"))
				if age := w.revokedBefore(e.key, sent); verdict == credential.Valid && age > revoke {
					t.Fatalf("a request ran %v after its key was revoked", age)
				}
				if verdict == credential.Valid {
					ran++
				}
			}
		}
	})
	if ran == 0 {
		t.Error("no request ran, so nothing was tested")
	}
}

// Guards against an age beyond the bound that is taken for fresh, also one that is the largest possible, and against an
// unknown key that is rejected by an entry that may have missed it.
func TestStaleKnowledgeComesBeforeTheKey(t *testing.T) {
	const most = time.Duration(1<<63 - 1)
	for _, c := range []struct {
		revoke, age, elapsed time.Duration
		known                bool
		want                 credential.Verdict
	}{
		{revoke, 4 * time.Second, 0, true, credential.Valid},
		{revoke, 4 * time.Second, 0, false, credential.Unknown},
		{revoke, 4 * time.Second, time.Second, true, credential.Stale},
		{revoke, revoke * 9 / 10, 0, false, credential.Stale},
		{revoke, most, time.Hour, true, credential.Stale},
		{revoke, 0, most - time.Hour, true, credential.Stale},
		{0, most, time.Hour, true, credential.Valid},
		{0, most, time.Hour, false, credential.Unknown},
	} {
		k := credential.Knowledge{Age: c.age, At: time.Hour}
		if got := credential.NewBound(c.revoke).Decide(k, time.Hour+c.elapsed, c.known); got != c.want {
			t.Errorf("bound %v, age %v, %v later, known %v: %v, want %v", c.revoke, c.age, c.elapsed, c.known, got, c.want)
		}
	}
}
