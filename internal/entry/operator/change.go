package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/kataras/iris/v12"

	"tamarackspool/internal/config/history"
	"tamarackspool/internal/record/event"
)

const (
	// longest bounds the body of a call in bytes: a patch and about ten parts of client blocks in base64.
	longest = 16 << 20
	// patience bounds a submission: several calls to a slow store. The client sees an unknown outcome afterwards.
	patience = 10 * time.Second
	// pushing bounds how long the response waits for the push to the peers.
	pushing = time.Second
)

// patch answers POST /patch.
func (a *API) patch(c iris.Context) {
	var w patchWire
	if !a.decode(c, &w) {
		return
	}
	a.submit(c, history.Patch{Base: w.Base, ID: w.ID, Author: w.Who, Reason: w.Why, Change: w.Patch, Blocks: w.Blocks})
}

// drain answers POST /drain, which adds a drain to the configuration. Without a start the drain starts
// now; without a base it applies to the adopted version.
func (a *API) drain(c iris.Context) {
	var w drainWire
	if !a.decode(c, &w) {
		return
	}
	if w.Base == 0 {
		w.Base, _, _ = a.d.Configuration.Raw()
	}
	if w.Base == 0 {
		a.fail(c, http.StatusServiceUnavailable, errEmpty)
		return
	}
	if w.Start == nil {
		now := a.d.Now().UTC().Truncate(time.Second)
		w.Start = &now
	}
	change, err := w.change()
	if err != nil {
		a.fail(c, http.StatusInternalServerError, err)
		return
	}
	a.submit(c, history.Patch{Base: w.Base, ID: w.ID, Author: w.Who, Reason: w.Why, Change: change})
}

// change returns the RFC 6902 patch that adds the drain.
func (w drainWire) change() ([]byte, error) {
	value := map[string]any{"name": w.Name, "start": w.Start}
	if len(w.Targets) > 0 {
		value["targets"] = w.Targets
	}
	if w.Zone != "" {
		value["zone"] = w.Zone
	}
	if w.Region != "" {
		value["region"] = w.Region
	}
	if w.End != nil {
		value["end"] = w.End
	}
	data, err := json.Marshal([]map[string]any{{"op": "add", "path": "/drains/-", "value": value}})
	if err != nil {
		return nil, fmt.Errorf("operator: drain: %w", err)
	}
	return data, nil
}

// decode reads the body and refuses unknown fields.
func (a *API) decode(c iris.Context, out any) bool {
	dec := json.NewDecoder(http.MaxBytesReader(c.ResponseWriter(), c.Request().Body, longest))
	dec.DisallowUnknownFields()
	err := dec.Decode(out)
	if large, ok := errors.AsType[*http.MaxBytesError](err); ok {
		a.fail(c, http.StatusRequestEntityTooLarge, fmt.Errorf("operator: body above %d bytes", large.Limit))
		return false
	}
	if err != nil {
		a.fail(c, http.StatusBadRequest, fmt.Errorf("operator: body: %w", err))
		return false
	}
	return true
}

// submit submits the patch and answers with its outcome. The submission goes on when the client leaves,
// because a patch that has been sent must reach an outcome that the client can ask for.
func (a *API) submit(c iris.Context, p history.Patch) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(c.Request().Context()), patience)
	defer cancel()
	p.Change = bytes.TrimSpace(p.Change)
	o, err := a.d.History.Submit(ctx, p)
	if err != nil {
		a.fail(c, code(err), err)
		return
	}
	a.note(p, o)
	if r, ok := o.Record(); ok {
		a.adopt(ctx, r)
	}
	a.send(c, outcomeCode(o.Kind()), wireOutcome(o))
}

// adopt takes the new version over in this entry and pushes it to the peers before the response.
func (a *API) adopt(ctx context.Context, r history.Record) {
	adopted, err := a.d.Configuration.Adopt(r.Version(), r.Hash(), r.Data())
	if err != nil {
		a.d.Log.Log(event.VersionInvalid, "version", r.Version(), "err", err)
		return
	}
	if adopted {
		a.d.Log.Log(event.VersionAdopted, "version", r.Version())
	}
	if a.d.Announcer == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, pushing)
	defer cancel()
	a.d.Announcer.Announce(ctx)
}

func (a *API) note(p history.Patch, o history.Outcome) {
	n := event.PatchUnknown
	switch o.Kind() {
	case history.Applied:
		n = event.PatchApplied
	case history.Refused:
		n = event.PatchRefused
	}
	a.d.Log.Log(n, "id", p.ID, "who", p.Author, "base", p.Base, "version", o.Version(), "reason", o.Reason())
}

// outcomeCode returns the HTTP status of an outcome.
func outcomeCode(k history.OutcomeKind) int {
	switch k {
	case history.Applied:
		return http.StatusOK
	case history.Refused:
		return http.StatusConflict
	default:
		return http.StatusGatewayTimeout
	}
}
