package edge

import (
	"bytes"
	"compress/flate"
	"encoding/json"
	"fmt"
	"io"
	"sync"

	"tamarackspool/internal/site/mirror"
)

// answerCache caches the last answer to peers. The peers of a region mostly request the
// same changes from one entry, which then compresses them once and sends few bytes over
// its own link. It is safe for concurrent use.
type answerCache struct {
	mu        sync.Mutex
	lastAfter mirror.Position
	last      changesAnswer
}

// changesAfter returns the compressed changes of the mirror after the position.
func (c *answerCache) changesAfter(m *mirror.Mirror, after mirror.Position) (changesAnswer, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.last.Revision > 0 && c.lastAfter == after && (mirror.Position{Era: c.last.Era, Revision: c.last.Revision}) == m.Position() {
		return c.last, nil
	}
	b := m.Since(after)
	packed, err := compressItems(b.Items)
	if err != nil {
		return changesAnswer{}, err
	}
	c.lastAfter, c.last = after, changesAnswer{Packed: packed, Era: b.Era, Revision: b.Revision, Whole: b.Snapshot}
	return c.last, nil
}

func compressItems(items []mirror.Item) ([]byte, error) {
	if len(items) == 0 {
		return nil, nil
	}
	list := make([]changedItem, len(items))
	for i, it := range items {
		list[i] = changedItem(it)
	}
	var b bytes.Buffer
	w, err := flate.NewWriter(&b, flate.BestSpeed)
	if err == nil {
		err = json.NewEncoder(w).Encode(list)
	}
	if err == nil {
		err = w.Close()
	}
	if err != nil {
		return nil, fmt.Errorf("edge: %w", err)
	}
	return b.Bytes(), nil
}

// maxDecompressedBytes bounds the decompressed size of a peer's answer: the store's largest values and all registrations.
const maxDecompressedBytes = 64 << 20

func decompressItems(packed []byte) ([]mirror.Item, error) {
	if len(packed) == 0 {
		return nil, nil
	}
	var list []changedItem
	if err := json.NewDecoder(io.LimitReader(flate.NewReader(bytes.NewReader(packed)), maxDecompressedBytes)).Decode(&list); err != nil {
		return nil, fmt.Errorf("edge: changed items: %w", err)
	}
	items := make([]mirror.Item, len(list))
	for i, it := range list {
		items[i] = mirror.Item(it)
	}
	return items, nil
}
