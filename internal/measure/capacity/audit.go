package capacity

import (
	"context"

	"tamarackspool/internal/config/codec"
	"tamarackspool/internal/config/document"
)

// AuditRole measures the size and the store calls of the audit trail by the number of recorded changes.
type AuditRole struct{}

// Name returns the name of the role.
func (AuditRole) Name() string { return "audit" }

// Scale counts changes; the design size is the number of changes in ten days.
func (AuditRole) Scale() Scale {
	return Scale{Unit: "changes", Sizes: []int{400, 800, 1600}, DesignSize: 10 * DesignChanges}
}

// Measure applies the given number of changes to a configuration of today's size and measures the audit data in the store.
func (AuditRole) Measure(ctx context.Context, size int) (map[string]float64, error) {
	s, h := newHistory()
	defer s.Close()
	data, err := codec.Encode(document.New(configFields(nodesToday)))
	if err != nil {
		return nil, err
	}
	if _, err := h.Create(ctx, data, nil); err != nil {
		return nil, err
	}
	before := s.Counts()
	for v := range uint64(size) {
		if err := submitChange(ctx, h, v+2); err != nil {
			return nil, err
		}
	}
	after := s.Counts()
	client := newClient(s)
	pages, err := client.List(ctx, "audit/")
	if err != nil {
		return nil, err
	}
	bytes := 0.0
	for _, p := range pages {
		bytes += float64(len(p.Data()))
	}
	head, err := client.Get(ctx, "config/head")
	if err != nil {
		return nil, err
	}
	list, err := h.Audit(ctx, 0)
	if err != nil {
		return nil, err
	}
	return map[string]float64{
		"pages": float64(len(pages)), "pages-kB": bytes / 1e3, "records": float64(len(list)),
		"bytes/change":     bytes / (32 * float64(len(pages))), // A page holds 32 changes.
		"largest-value-MB": float64(len(head.Data())) / 1e6,
		"writes/change":    float64(after.Writes-before.Writes) / float64(size),
		"reads/change":     float64(after.Reads-before.Reads) / float64(size),
	}, nil
}
