package capacity

import (
	"context"
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"math"
	"net/http"
	"runtime"
	"slices"

	"tamarackspool/internal/config/codec"
	"tamarackspool/internal/config/current"
	"tamarackspool/internal/config/document"
	"tamarackspool/internal/config/history"
	"tamarackspool/internal/platform/store"
	standin "tamarackspool/internal/standin/store"
)

// ConfigRole measures the configuration document and a change to it; the number of sites grows with the fleet.
type ConfigRole struct{}

// Name returns the name of the role.
func (ConfigRole) Name() string { return "config" }

// Scale counts entries.
func (ConfigRole) Scale() Scale { return nodeScale(12, 48, 192, 400, DesignNodes) }

// Measure encodes, validates and changes the configuration of a fleet of the given size.
func (ConfigRole) Measure(ctx context.Context, size int) (map[string]float64, error) {
	data, err := codec.Encode(document.New(configFields(size)))
	if err != nil {
		return nil, err
	}
	out := map[string]float64{"document-kB": float64(len(data)) / 1e3, "document-pieces": math.Ceil(float64(len(data)) / codec.MaxPartBytes)}
	hash := sha256.Sum256(data)
	before := heapBytes()
	held := make([]*current.Current, 20) // A single document is too small to stand out from the noise in the heap size.
	for i := range held {
		held[i] = current.New()
		if _, err := held[i].Adopt(1, hash, slices.Clone(data)); err != nil {
			return nil, err
		}
	}
	out["memory-MB"] = (heapBytes() - before) / float64(len(held)) / 1e6
	runtime.KeepAlive(held)
	took := cpuTimePerCall(ctx, sampleTime, func() { _, err = current.New().Adopt(1, hash, data) })
	if err != nil {
		return nil, err
	}
	out["adopt-µs"] = microseconds(took)
	out["core-percent"] = 100 * DesignChanges * took.Seconds() / secondsPerDay
	return out, measurePatch(ctx, data, out)
}

// measurePatch measures the submission of a patch until its commit.
func measurePatch(ctx context.Context, data []byte, out map[string]float64) error {
	s, h := newHistory()
	defer s.Close()
	if _, err := h.Create(ctx, data, nil); err != nil {
		return err
	}
	version, before := uint64(1), s.Counts()
	took := cpuTimePerCall(ctx, sampleTime, func() { version++; _ = submitChange(ctx, h, version) })
	if err := submitChange(ctx, h, version+1); err != nil {
		return err
	}
	after, changes := s.Counts(), float64(version)
	out["patch-µs"] = microseconds(took)
	out["reads/change"] = float64(after.Reads-before.Reads) / changes
	out["writes/change"] = float64(after.Writes-before.Writes) / changes
	return nil
}

func newHistory() (*standin.Server, *history.History) {
	s := standin.New(standin.Settings{Token: "k"})
	return s, history.New(history.Settings{Store: newClient(s)})
}

func newClient(s *standin.Server) *store.Client {
	return store.New("http://store", "k", &http.Client{Transport: s.Transport()})
}

// submitChange submits a patch that creates the given version from the previous one.
func submitChange(ctx context.Context, h *history.History, version uint64) error {
	patch := fmt.Sprintf(`[{"op":"replace","path":"/regions/0/keep","value":%.3f}]`, float64(version%300)/1000)
	o, err := h.Submit(ctx, history.Patch{
		Base: version - 1, ID: fmt.Sprint("change-", version), Author: "operator", Reason: "a change of the kept fraction", Change: json.RawMessage(patch),
	})
	if err == nil && o.Kind() != history.Applied {
		err = fmt.Errorf("capacity: change %d: %s", version, o.Reason())
	}
	return err
}
