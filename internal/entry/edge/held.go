package edge

import (
	"sync"

	"tamarackspool/internal/request/inbound"
	"tamarackspool/internal/request/upstream"
)

// answerMemoryDivisor is the divisor of the memory limit that gives the limit for the answers held for callers; as
// much as for request bodies. Callers that read slowly keep an answer of up to 256 KB in memory for many seconds.
const answerMemoryDivisor = 4

// heldAnswers are the targets' answers to one request, which hold memory until they are released; it is safe for concurrent use.
type heldAnswers struct {
	mu       sync.Mutex
	answers  []*upstream.Answer
	released bool
}

// add keeps the answer until release is called, or releases it at once afterwards.
func (h *heldAnswers) add(a *upstream.Answer) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.released {
		a.Release()
		return
	}
	h.answers = append(h.answers, a)
}

func (h *heldAnswers) release() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.released = true
	for _, a := range h.answers {
		a.Release()
	}
	h.answers = nil
}

// releaseAfter releases the held answers when the answer to the caller has been written, or at once without one.
func (h *heldAnswers) releaseAfter(a *inbound.Answer) *inbound.Answer {
	if a == nil {
		h.release()
		return nil
	}
	a.Release = h.release
	return a
}
