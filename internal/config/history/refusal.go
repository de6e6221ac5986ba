package history

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"tamarackspool/internal/platform/store"
)

const (
	// maxRefusals is the number of refusals that are retained.
	maxRefusals = 256
	// maxReasonBytes limits a recorded reason, so that all retained refusals fit into one value.
	maxReasonBytes = 1024
	// refusalAttempts limits the attempts to record a refusal against concurrent writes.
	refusalAttempts = 3
)

// Refusals returns the most recently refused patches, oldest first.
func (h *History) Refusals(ctx context.Context) ([]Refusal, error) {
	wires, _, err := h.readRefusals(ctx)
	list := make([]Refusal, 0, len(wires))
	for _, w := range wires {
		list = append(list, Refusal{id: w.ID, author: w.Who, reason: w.Reason, base: w.Base, refusedAt: w.At})
	}
	return list, err
}

func (h *History) readRefusals(ctx context.Context) ([]refusalWire, uint64, error) {
	v, err := h.store.Get(ctx, refusalsKey)
	if errors.Is(err, store.ErrNotFound) {
		return nil, 0, nil
	}
	if err != nil {
		return nil, 0, fmt.Errorf("history: refusals: %w", err)
	}
	var wires []refusalWire
	if err := json.Unmarshal(v.Data(), &wires); err != nil {
		return nil, 0, fmt.Errorf("history: refusals: %w", err)
	}
	return wires, v.Revision(), nil
}

// recordRefusal stores the refusal, once for each id and base. The patch is refused whether or not this
// succeeds, so a failure of the store is not reported.
func (h *History) recordRefusal(ctx context.Context, p Patch, o Outcome) {
	w := refusalWire{
		ID: p.ID, Who: p.Author, Base: p.Base, At: h.now().UTC().Truncate(time.Millisecond),
		Reason: o.reason[:min(len(o.reason), maxReasonBytes)],
	}
	for range refusalAttempts {
		wires, revision, err := h.readRefusals(ctx)
		if err != nil {
			return
		}
		for _, old := range wires {
			if old.ID == w.ID && old.Base == w.Base {
				return
			}
		}
		wires = append(wires, w)
		data, err := json.Marshal(wires[max(0, len(wires)-maxRefusals):])
		if err != nil {
			return
		}
		_, err = h.store.Put(ctx, refusalsKey, data, revision, 0)
		if !errors.Is(err, store.ErrConflict) && !errors.Is(err, store.ErrOutcomeUnknown) {
			return
		}
	}
}
