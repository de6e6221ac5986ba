package upstream

import (
	"bytes"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
)

// heldBytes counts the bytes of answers that are held in memory, against a limit; it is safe for concurrent use.
type heldBytes struct {
	used  atomic.Int64
	limit atomic.Int64 // limit is 0 without a limit.
}

// smallPart is how many bytes of an answer are held once the limit is reached. What follows is streamed, so that a
// slow reader holds up the target instead of the memory of the entry.
const smallPart = 16 << 10

// reserve counts the buffer of an answer of the given length, negative if unknown, and returns its size.
func (h *heldBytes) reserve(length int64) int64 {
	size := int64(maxBufferedBody)
	if length >= 0 {
		size = min(size, length)
	}
	limit := h.limit.Load()
	if h.used.Add(size); limit == 0 || h.used.Load() <= limit || size <= smallPart {
		return size
	}
	h.used.Add(smallPart - size)
	return smallPart
}

// LimitHeldBytes bounds the bytes of answers that are held in memory until they are released, but for 16 KB of each.
func (p *Pool) LimitHeldBytes(limit int64) { p.held.limit.Store(limit) }

// HeldBytes returns the bytes of answers that are held in memory.
func (p *Pool) HeldBytes() int64 { return p.held.used.Load() }

// Release ends the count of the bytes that the answer holds; Body must not be used afterwards. Further calls do nothing.
func (a *Answer) Release() {
	if a.release != nil {
		a.release()
	}
}

// readAnswer reads the answer whole, or a first part that is bounded by the memory.
func readAnswer(resp *http.Response, held *heldBytes) (*Answer, error) {
	a := &Answer{Status: resp.StatusCode, Header: resp.Header, Length: resp.ContentLength}
	size := held.reserve(resp.ContentLength)
	var b bytes.Buffer
	if resp.ContentLength > 0 {
		b.Grow(int(size) + bytes.MinRead)
	}
	n, err := io.Copy(&b, io.LimitReader(resp.Body, size))
	a.Body = b.Bytes()
	if err != nil {
		held.used.Add(-size)
		return nil, err
	}
	// An answer of unknown length is counted as the whole limit until its length is known.
	kept := min(size, n)
	held.used.Add(kept - size)
	a.release = sync.OnceFunc(func() { held.used.Add(-kept) })
	if n == size && n < resp.ContentLength || resp.ContentLength < 0 && n == size {
		a.BodyRest = resp.Body
		return a, nil
	}
	if a.Length < 0 {
		a.Length = n
	}
	return a, nil
}
