package history

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"tamarackspool/internal/platform/store"
)

const (
	// versionsPerPage is the number of versions whose audit records are stored in one page.
	versionsPerPage = 32
	// maxHeadRecords is the number of audit records in the head above which its oldest ones move to a page.
	maxHeadRecords = 64
	// maxPages is the number of pages that are retained.
	maxPages = 100
)

// pageKey returns the store key of a page. Page n holds the audit records of the versions v with v/versionsPerPage = n.
func pageKey(page uint64) string { return fmt.Sprintf("%s%08d", pagePrefix, page) }

// moveOldestPage moves the oldest audit records of the head to a page. The page is written before the head drops
// the records, and its content depends only on committed records, so the write is idempotent.
func (h *History) moveOldestPage(ctx context.Context, next *head) error {
	if len(next.records) <= maxHeadRecords {
		return nil
	}
	page, count := next.records[0].version/versionsPerPage, 0
	for count < len(next.records) && next.records[count].version/versionsPerPage == page {
		count++
	}
	list := make([]auditWire, 0, count)
	for _, a := range next.records[:count] {
		list = append(list, a.wire())
	}
	data, err := json.Marshal(list)
	if err != nil {
		return fmt.Errorf("history: page %d: %w", page, err)
	}
	_, err = h.store.Put(ctx, pageKey(page), data, 0, 0)
	if errors.Is(err, store.ErrOutcomeUnknown) {
		_, err = h.store.Get(ctx, pageKey(page))
	}
	if err != nil && !errors.Is(err, store.ErrConflict) {
		return fmt.Errorf("history: page %d: %w", page, err)
	}
	next.records = next.records[count:]
	return nil
}

// deleteExpiredPages deletes the pages that have just left the retained range. After a failure a page remains,
// and the next two calls with a new page try to delete it again.
func (h *History) deleteExpiredPages(ctx context.Context, next head) {
	first := next.records[0].version
	if first%versionsPerPage != 0 || first/versionsPerPage <= maxPages {
		return
	}
	end := first/versionsPerPage - maxPages
	for page := end - min(end, 3); page < end; page++ {
		if v, err := h.store.Get(ctx, pageKey(page)); err == nil {
			// A failed deletion is retried when the next page is written.
			_ = h.store.Delete(ctx, pageKey(page), v.Revision())
		}
	}
}

// Audit returns the retained audit records of the versions from the given one on, oldest first.
func (h *History) Audit(ctx context.Context, from uint64) ([]AuditRecord, error) {
	current, err := h.readHead(ctx)
	if err != nil {
		return nil, err
	}
	return h.readAudit(ctx, current, from)
}

// readAudit returns the retained audit records from the given version up to the current head. It reads pages only
// below the oldest record in the head, so that no record appears twice.
func (h *History) readAudit(ctx context.Context, current head, from uint64) ([]AuditRecord, error) {
	var list []AuditRecord
	if len(current.records) > 0 {
		oldestInHead := current.records[0].version
		for page := max(from/versionsPerPage, firstRetainedPage(oldestInHead)); page*versionsPerPage < oldestInHead; page++ {
			records, err := h.readPage(ctx, page)
			if errors.Is(err, store.ErrNotFound) && len(list) == 0 {
				continue // deleted by deleteExpiredPages
			}
			if err != nil {
				return nil, err
			}
			list = append(list, records...)
		}
	}
	list = append(list, current.records...)
	for len(list) > 0 && list[0].version < from {
		list = list[1:]
	}
	return list, nil
}

// firstRetainedPage returns the number of the first retained page; oldestInHead is the version of the oldest
// audit record in the head.
func firstRetainedPage(oldestInHead uint64) uint64 {
	end := oldestInHead / versionsPerPage
	return end - min(end, maxPages)
}

func (h *History) readPage(ctx context.Context, page uint64) ([]AuditRecord, error) {
	v, err := h.store.Get(ctx, pageKey(page))
	if err != nil {
		return nil, fmt.Errorf("history: page %d: %w", page, err)
	}
	var wires []auditWire
	if err := json.Unmarshal(v.Data(), &wires); err != nil {
		return nil, fmt.Errorf("history: page %d: %w", page, err)
	}
	list := make([]AuditRecord, 0, len(wires))
	for _, w := range wires {
		list = append(list, w.auditRecord())
	}
	return list, nil
}
