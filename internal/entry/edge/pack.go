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

// packs keeps the last answer to peers: those of a region mostly ask for the
// same, and it is compressed once, because one entry answers all of them over
// its own link. It is safe for concurrent use.
type packs struct {
	mu    sync.Mutex
	after uint64
	last  changesAnswer
}

// answer returns what the mirror holds beyond the revision.
func (p *packs) answer(m *mirror.Mirror, after uint64) (changesAnswer, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.last.Revision > 0 && p.after == after && p.last.Revision == m.Revision() {
		return p.last, nil
	}
	b := m.Since(after)
	packed, err := pack(b.Items)
	if err != nil {
		return changesAnswer{}, err
	}
	p.after, p.last = after, changesAnswer{Packed: packed, Revision: b.Revision, Whole: b.Whole}
	return p.last, nil
}

func pack(items []mirror.Item) ([]byte, error) {
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

// maxUnpacked bounds what a peer's answer may grow to: the store's largest values and all registrations.
const maxUnpacked = 64 << 20

func unpack(packed []byte) ([]mirror.Item, error) {
	if len(packed) == 0 {
		return nil, nil
	}
	var list []changedItem
	if err := json.NewDecoder(io.LimitReader(flate.NewReader(bytes.NewReader(packed)), maxUnpacked)).Decode(&list); err != nil {
		return nil, fmt.Errorf("edge: changed items: %w", err)
	}
	items := make([]mirror.Item, len(list))
	for i, it := range list {
		items[i] = mirror.Item(it)
	}
	return items, nil
}
