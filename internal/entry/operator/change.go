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
	// maxBodyBytes bounds a request body: a patch and about ten parts of client blocks in base64.
	maxBodyBytes = 16 << 20
	// submitTimeout bounds a submission, which makes several calls to a possibly slow store. After it the outcome is reported as unknown.
	submitTimeout = 10 * time.Second
	// pushTimeout bounds how long the response waits for the push to the peers.
	pushTimeout = time.Second
)

// patch handles POST /patch.
func (a *API) patch(c iris.Context) {
	var w patchWire
	if !a.decode(c, &w) {
		return
	}
	a.submit(c, history.Patch{Base: w.Base, ID: w.ID, Author: w.Who, Reason: w.Why, Change: w.Patch, Blocks: w.Blocks})
}

// drain handles POST /drain, which adds a drain to the configuration. The start defaults to the current
// time and the base to the adopted version.
func (a *API) drain(c iris.Context) {
	var w drainWire
	if !a.decode(c, &w) {
		return
	}
	if w.Base == 0 {
		w.Base, _, _ = a.deps.Configuration.Raw()
	}
	if w.Base == 0 {
		a.sendError(c, http.StatusServiceUnavailable, errNoConfiguration)
		return
	}
	if w.Start == nil {
		now := a.deps.Now().UTC().Truncate(time.Second)
		w.Start = &now
	}
	change, err := w.change()
	if err != nil {
		a.sendError(c, http.StatusInternalServerError, err)
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
	dec := json.NewDecoder(http.MaxBytesReader(c.ResponseWriter(), c.Request().Body, maxBodyBytes))
	dec.DisallowUnknownFields()
	err := dec.Decode(out)
	if large, ok := errors.AsType[*http.MaxBytesError](err); ok {
		a.sendError(c, http.StatusRequestEntityTooLarge, fmt.Errorf("operator: body above %d bytes", large.Limit))
		return false
	}
	if err != nil {
		a.sendError(c, http.StatusBadRequest, fmt.Errorf("operator: body: %w", err))
		return false
	}
	return true
}

// submit submits the patch and responds with its outcome. The submission continues when the client disconnects,
// because a patch that was sent must reach an outcome that the client can query.
func (a *API) submit(c iris.Context, p history.Patch) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(c.Request().Context()), submitTimeout)
	defer cancel()
	p.Change = bytes.TrimSpace(p.Change)
	o, err := a.deps.History.Submit(ctx, p)
	if err != nil {
		a.sendError(c, historyErrorCode(err), err)
		return
	}
	a.logOutcome(p, o)
	if r, ok := o.Record(); ok {
		a.adopt(ctx, r)
	}
	a.send(c, outcomeCode(o.Kind()), wireOutcome(o))
}

// adopt adopts the new version in this entry and pushes it to the peers before the response is sent.
func (a *API) adopt(ctx context.Context, r history.Record) {
	adopted, err := a.deps.Configuration.Adopt(r.Version(), r.Hash(), r.Data())
	if err != nil {
		a.deps.Log.Log(event.VersionInvalid, "version", r.Version(), "err", err)
		return
	}
	if adopted {
		a.deps.Log.Log(event.VersionAdopted, "version", r.Version())
	}
	if a.deps.Announcer == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, pushTimeout)
	defer cancel()
	a.deps.Announcer.Announce(ctx)
}

func (a *API) logOutcome(p history.Patch, o history.Outcome) {
	n := event.PatchUnknown
	switch o.Kind() {
	case history.Applied:
		n = event.PatchApplied
	case history.Refused:
		n = event.PatchRefused
	}
	a.deps.Log.Log(n, "id", p.ID, "who", p.Author, "base", p.Base, "version", o.Version(), "reason", o.Reason())
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
