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
	// ring is the number of refusals that are kept.
	ring = 256
	// longestReason bounds a recorded reason in bytes, so that the ring fits into one value.
	longestReason = 1024
	// refusalAttempts bounds the races that recording a refusal may lose.
	refusalAttempts = 3
)

// Refusals returns the last refused patches, oldest first.
func (h *History) Refusals(ctx context.Context) ([]Refusal, error) {
	wires, _, err := h.refused(ctx)
	list := make([]Refusal, 0, len(wires))
	for _, w := range wires {
		list = append(list, Refusal{id: w.ID, who: w.Who, reason: w.Reason, base: w.Base, at: w.At})
	}
	return list, err
}

func (h *History) refused(ctx context.Context) ([]refusalWire, uint64, error) {
	v, err := h.store.Get(ctx, refusedKey)
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

// recordRefusal adds the refusal to the ring, once for each id and base. The refusal stands whether or
// not it can be recorded, so a failure of the store is not reported.
func (h *History) recordRefusal(ctx context.Context, p Patch, o Outcome) {
	w := refusalWire{
		ID: p.ID, Who: p.Who, Base: p.Base, At: h.now().UTC().Truncate(time.Millisecond),
		Reason: o.reason[:min(len(o.reason), longestReason)],
	}
	for range refusalAttempts {
		wires, revision, err := h.refused(ctx)
		if err != nil {
			return
		}
		for _, old := range wires {
			if old.ID == w.ID && old.Base == w.Base {
				return
			}
		}
		wires = append(wires, w)
		data, err := json.Marshal(wires[max(0, len(wires)-ring):])
		if err != nil {
			return
		}
		_, err = h.store.Put(ctx, refusedKey, data, revision, 0)
		if !errors.Is(err, store.ErrConflict) && !errors.Is(err, store.ErrUnknown) {
			return
		}
	}
}
