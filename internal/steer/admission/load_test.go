package admission_test

import (
	"fmt"
	"reflect"
	"testing"
	"time"

	"tamarackspool/internal/steer/admission"
)

// disturbed returns a factor that applies for 8 s and another one for the rest of a play.
func disturbed(during, otherwise float64) func(time.Duration) float64 {
	return func(now time.Duration) float64 {
		if now > 4*time.Second && now < 12*time.Second {
			return during
		}
		return otherwise
	}
}

// newScene returns a load with the work times, slots, queues and timeouts of a customer's services.
func newScene(kinds ...kind) scene {
	return scene{
		kinds: kinds, entries: 6, targets: 24, slots: 3, queue: 9, objects: 60,
		cold: 600 * time.Millisecond, warm: 200 * time.Millisecond, length: 20 * time.Second,
	}
}

func newKind(name string, priority int, rate float64) kind {
	return kind{name: name, request: admission.Request{Priority: priority}, rate: rate, timeout: 1300 * time.Millisecond, patience: 2 * time.Second}
}

func newAccount(name string, rate float64) kind {
	k := newKind(name, 1, rate)
	k.request.Account = name
	return k
}

// compare plays the scene without and with the decisions and logs what callers got.
func compare(t *testing.T, s scene, on decisions) (before, after map[string]result) {
	t.Helper()
	before, after = play(s, decisions{}), play(s, on)
	for _, k := range s.kinds {
		t.Logf("%s: %v; before: %v", k.name, after[k.name], before[k.name])
	}
	return before, after
}

// checkNoneStarved checks that each kind is served at least a quarter as often as all.
func checkNoneStarved(t *testing.T, results map[string]result) {
	t.Helper()
	var all result
	for _, r := range results {
		all.sent, all.served = all.sent+r.sent, all.served+r.served
	}
	for name, r := range results {
		if r.share() < all.share()/4 {
			t.Errorf("%s: %.3f served, %.3f of all", name, r.share(), all.share())
		}
	}
}

// Guards against a retry budget that less urgent requests use up while targets reject 40 % of the requests at any load.
func TestUrgentRequestsGetTheRetries(t *testing.T) {
	s := newScene(newKind("urgent", 0, 24), newKind("other", 2, 36))
	s.shed = disturbed(0.4, 0)
	before, after := compare(t, s, decisions{retry: true})
	if after["urgent"].share() < before["urgent"].share()+0.01 {
		t.Errorf("urgent: %.3f served, %.3f before", after["urgent"].share(), before["urgent"].share())
	}
	checkNoneStarved(t, after)
}

// Guards against callers that are told to come back while the service still rejects requests, and against delays that
// cost more answers within the objective than they gain answers: targets reject 80 % of the requests.
func TestReturnsAreServedMoreOften(t *testing.T) {
	s := newScene(newKind("urgent", 0, 24), newKind("other", 2, 36))
	s.shed = disturbed(0.8, 0)
	before, after := compare(t, s, decisions{returns: true})
	for name, r := range after {
		if b := before[name]; r.share() < b.share()+0.005 || float64(r.prompt) < 0.97*float64(b.prompt) {
			t.Errorf("%s: %v; before: %v", name, r, b)
		}
	}
}

// Guards against runs that are cut at the timeout because they were sent although their wait and work exceed it, and
// against refusals that cost answers.
func TestRequestsThatCannotBeAnsweredInTimeAreNotSent(t *testing.T) {
	s := newScene(newKind("read", 1, 300))
	s.kinds[0].peak = disturbed(2.2, 0.8)
	before, after := compare(t, s, decisions{place: true})
	b, a := before["read"], after["read"]
	if float64(b.cut) < 0.04*float64(b.sent) || float64(a.cut) > 0.25*float64(b.cut) || a.share() < b.share()+0.02 || a.prompt < b.prompt {
		t.Errorf("%v; before: %v", a, b)
	}
}

// Guards against a burst of the least urgent kind that displaces an urgent one, and against an urgent kind that starves it.
func TestABurstOfTheLeastUrgentKindDisplacesNoOther(t *testing.T) {
	s := newScene(newKind("urgent", 0, 150), newKind("other", 2, 150))
	s.kinds[1].peak = disturbed(3, 0.5)
	before, after := compare(t, s, allDecisions)
	if a := after["urgent"].share(); a < 0.95 || a < before["urgent"].share()+0.1 {
		t.Errorf("urgent: %.3f served, %.3f before", a, before["urgent"].share())
	}
	checkNoneStarved(t, after)
}

// Guards against an account at eight times its usual rate that displaces others, also when its callers return at once
// whatever they are told.
func TestAnAccountBeyondItsShareDisplacesNoOther(t *testing.T) {
	for _, ignores := range []bool{false, true} {
		s := newScene(newAccount("a", 50), newAccount("b", 50), newAccount("c", 50), newAccount("d", 50))
		s.kinds[0].peak, s.kinds[0].ignores = disturbed(8, 1), ignores
		before, after := compare(t, s, allDecisions)
		for _, name := range []string{"b", "c", "d"} {
			if a := after[name].share(); a < 0.95 || a < before[name].share()+0.1 {
				t.Errorf("%s: %.3f served, %.3f before", name, a, before[name].share())
			}
		}
		checkNoneStarved(t, after)
	}
}

// Guards against a large account that is refused at its usual rate because others have small quotas.
func TestALargeAccountIsNotRefusedAtItsUsualRate(t *testing.T) {
	s := newScene(newAccount("large", 200), newAccount("small", 25), newAccount("loud", 25))
	for i := range s.kinds {
		s.kinds[i].request.Quota = 1.6 * s.kinds[i].rate
	}
	s.kinds[2].peak = disturbed(12, 1)
	_, after := compare(t, s, allDecisions)
	for _, name := range []string{"large", "small"} {
		if a := after[name].share(); a < 0.9 {
			t.Errorf("%s: %.3f served", name, a)
		}
	}
	checkNoneStarved(t, after)
}

// Guards against decisions that change anything while the service has capacity.
func TestACalmServiceIsServedAsBefore(t *testing.T) {
	s := newScene(newKind("urgent", 0, 6), newKind("other", 2, 6), newAccount("a", 1), newAccount("b", 4))
	before, after := compare(t, s, allDecisions)
	if !reflect.DeepEqual(before, after) {
		t.Errorf("%v; before: %v", after, before)
	}
}

// Guards against small accounts at many entries that are starved by chance, and against a priority that is served less
// often than a less urgent one: 24 accounts with three priorities ask for 2.5 times what they usually do.
func TestManySmallAccountsAreServedByPriority(t *testing.T) {
	var kinds []kind
	for i := range 24 {
		k := newAccount(fmt.Sprint("account-", i), 10)
		k.request.Priority, k.peak = i%3, disturbed(2.5, 0.8)
		kinds = append(kinds, k)
	}
	s := newScene(kinds...)
	s.entries = 24
	results := play(s, allDecisions)
	var byPriority [3]result
	for _, k := range kinds {
		p := &byPriority[k.request.Priority]
		p.sent, p.served = p.sent+results[k.name].sent, p.served+results[k.name].served
	}
	t.Logf("served by priority: %.3f, %.3f, %.3f", byPriority[0].share(), byPriority[1].share(), byPriority[2].share())
	for i := range 2 {
		if byPriority[i].share() < byPriority[i+1].share()-0.05 {
			t.Errorf("priority %d: %.3f served, priority %d: %.3f", i, byPriority[i].share(), i+1, byPriority[i+1].share())
		}
	}
	checkNoneStarved(t, results)
}
