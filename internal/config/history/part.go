package history

import (
	"context"
	"errors"
	"fmt"
	"slices"

	"tamarackspool/internal/config/codec"
	"tamarackspool/internal/config/document"
	"tamarackspool/internal/platform/store"
)

// inputError is an error caused by the content of a patch.
type inputError struct{ err error }

func (e inputError) Error() string { return e.err.Error() }
func (e inputError) Unwrap() error { return e.err }

// writeParts stores all parts that the next head will reference, before that head is written. Parts are
// content-addressed, so the writes are idempotent and may be retried after a lost response. The submitted block
// parts are written if data references them, except for those whose names are in stored.
func (h *History) writeParts(ctx context.Context, next *head, data []byte, d *document.Document, submitted [][]byte, stored []string) error {
	names, err := codec.BlockPartNames(data)
	if err != nil {
		return inputError{err}
	}
	next.blockParts = names
	byName := make(map[string][]byte, len(submitted))
	for _, part := range submitted {
		byName[codec.PartName(part)] = part
	}
	for _, name := range names {
		if slices.Contains(stored, name) {
			continue
		}
		if err := h.writeBlocks(ctx, name, byName[name], d); err != nil {
			return err
		}
	}
	next.pieces = nil
	for piece := range slices.Chunk(data, codec.MaxPartBytes) {
		if err := h.writePart(ctx, piece); err != nil {
			return err
		}
		next.pieces = append(next.pieces, codec.PartName(piece))
	}
	return nil
}

// writeBlocks validates a newly referenced part with client address blocks and stores it. A nil part means that
// the patch came without it, so the store must hold it already.
func (h *History) writeBlocks(ctx context.Context, name string, part []byte, d *document.Document) error {
	stored := part == nil
	if stored {
		var err error
		if part, err = h.Part(ctx, name); errors.Is(err, store.ErrNotFound) {
			return inputError{fmt.Errorf("blocks: part %s is neither sent nor stored; a sent or stored part is accepted", name)}
		} else if err != nil {
			return err
		}
	}
	if _, err := codec.DecodeBlocks(part, d); err != nil {
		return inputError{err}
	}
	if stored {
		return nil
	}
	return h.writePart(ctx, part)
}

// writePart stores a part. A conflict means that the part exists and, being content-addressed, is the same.
func (h *History) writePart(ctx context.Context, part []byte) error {
	key := partPrefix + codec.PartName(part)
	_, err := h.store.Put(ctx, key, part, 0, 0)
	if errors.Is(err, store.ErrOutcomeUnknown) {
		_, err = h.store.Get(ctx, key)
	}
	if err != nil && !errors.Is(err, store.ErrConflict) {
		return fmt.Errorf("history: write part: %w", err)
	}
	return nil
}

// deleteOldFirstPieces deletes the first piece of each version that the next head no longer lists. A first piece
// contains the version number, so no later version can reference it; other pieces may be shared and are retained.
func (h *History) deleteOldFirstPieces(ctx context.Context, current, next head) {
	for _, c := range current.changes {
		if c.version >= next.changes[0].version {
			return
		}
		key := partPrefix + c.part
		if v, err := h.store.Get(ctx, key); err == nil {
			// A piece that remains after a failed deletion only takes space.
			_ = h.store.Delete(ctx, key, v.Revision())
		}
	}
}
