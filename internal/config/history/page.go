package history

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"tamarackspool/internal/platform/store"
)

const (
	// pageSize is the number of versions whose records share a page.
	pageSize = 32
	// kept is the number of records above which the head moves its oldest page out.
	kept = 64
	// pages is the number of pages that are kept.
	pages = 100
)

// pageKey returns the key of the page that holds the record of the version.
func pageKey(page uint64) string { return fmt.Sprintf("%s%08d", pagePrefix, page) }

// spill moves the oldest page of records out of the head. The page is written before the head stops
// holding its records, and its content depends only on committed records, so a repeat writes the same.
func (h *History) spill(ctx context.Context, next *head) error {
	if len(next.audit) <= kept {
		return nil
	}
	page, count := next.audit[0].version/pageSize, 0
	for count < len(next.audit) && next.audit[count].version/pageSize == page {
		count++
	}
	list := make([]auditWire, 0, count)
	for _, a := range next.audit[:count] {
		list = append(list, a.wire())
	}
	data, err := json.Marshal(list)
	if err != nil {
		return fmt.Errorf("history: page %d: %w", page, err)
	}
	_, err = h.store.Put(ctx, pageKey(page), data, 0, 0)
	if errors.Is(err, store.ErrUnknown) {
		_, err = h.store.Get(ctx, pageKey(page))
	}
	if err != nil && !errors.Is(err, store.ErrConflict) {
		return fmt.Errorf("history: page %d: %w", page, err)
	}
	next.audit = next.audit[count:]
	return nil
}

// trim deletes the pages that have just left the kept range. A failure leaves a page too many, which
// the next two spills try to delete again.
func (h *History) trim(ctx context.Context, next head) {
	first := next.audit[0].version
	if first%pageSize != 0 || first/pageSize <= pages {
		return
	}
	end := first/pageSize - pages
	for page := end - min(end, 3); page < end; page++ {
		if v, err := h.store.Get(ctx, pageKey(page)); err == nil {
			// The next spill repeats a deletion that failed.
			_ = h.store.Delete(ctx, pageKey(page), v.Revision())
		}
	}
}

// Audit returns the kept records of versions from the given one on, oldest first.
func (h *History) Audit(ctx context.Context, from uint64) ([]Audit, error) {
	current, err := h.head(ctx)
	if err != nil {
		return nil, err
	}
	return h.audit(ctx, current, from)
}

// audit returns the records below the current head. Pages are read only below the head's own
// records, so that no record appears twice.
func (h *History) audit(ctx context.Context, current head, from uint64) ([]Audit, error) {
	var list []Audit
	if len(current.audit) > 0 {
		limit := current.audit[0].version
		for page := max(from/pageSize, oldest(limit)); page*pageSize < limit; page++ {
			records, err := h.page(ctx, page)
			if errors.Is(err, store.ErrNotFound) && len(list) == 0 {
				continue // deleted by a trim
			}
			if err != nil {
				return nil, err
			}
			list = append(list, records...)
		}
	}
	list = append(list, current.audit...)
	for len(list) > 0 && list[0].version < from {
		list = list[1:]
	}
	return list, nil
}

// oldest returns the first kept page when the head's records begin at limit.
func oldest(limit uint64) uint64 {
	end := limit / pageSize
	return end - min(end, pages)
}

func (h *History) page(ctx context.Context, page uint64) ([]Audit, error) {
	v, err := h.store.Get(ctx, pageKey(page))
	if err != nil {
		return nil, fmt.Errorf("history: page %d: %w", page, err)
	}
	var wires []auditWire
	if err := json.Unmarshal(v.Data(), &wires); err != nil {
		return nil, fmt.Errorf("history: page %d: %w", page, err)
	}
	list := make([]Audit, 0, len(wires))
	for _, w := range wires {
		list = append(list, w.audit())
	}
	return list, nil
}
