package operator

import (
	"encoding/hex"
	"errors"
	"fmt"
	"net/http"
	"strconv"

	"github.com/kataras/iris/v12"

	"tamarackspool/internal/platform/store"
)

var errEmpty = errors.New("operator: no configuration adopted yet")

// config answers GET /config with the adopted document; its hash stands in the ETag header.
func (a *API) config(c iris.Context) {
	version, hash, data := a.d.Configuration.Raw()
	if version == 0 {
		a.fail(c, http.StatusServiceUnavailable, errEmpty)
		return
	}
	c.Header("ETag", strconv.Quote(hex.EncodeToString(hash[:])))
	c.ContentType("application/json")
	// A client that has gone needs no answer.
	_, _ = c.Write(data)
}

// audit answers GET /audit?from=V with the records of versions from V on and the last refusals.
func (a *API) audit(c iris.Context) {
	from, err := strconv.ParseUint(c.URLParamDefault("from", "0"), 10, 64)
	if err != nil {
		a.fail(c, http.StatusBadRequest, fmt.Errorf("operator: from %q; a version is accepted", c.URLParam("from")))
		return
	}
	list, err := a.d.History.Audit(c.Request().Context(), from)
	if err != nil {
		a.fail(c, code(err), err)
		return
	}
	refused, err := a.d.History.Refusals(c.Request().Context())
	if err != nil {
		a.fail(c, code(err), err)
		return
	}
	a.send(c, http.StatusOK, trailWire{wireAudit(list), wireRefusals(refused)})
}

// metrics answers GET /metrics with all metrics as one JSON object.
func (a *API) metrics(c iris.Context) {
	values := map[string]map[string]any{}
	if a.d.Metrics != nil {
		values = a.d.Metrics.GetAll()
	}
	a.send(c, http.StatusOK, values)
}

// code returns the HTTP status of a failure of the history.
func code(err error) int {
	if errors.Is(err, store.ErrUnavailable) || errors.Is(err, store.ErrOutcomeUnknown) || errors.Is(err, store.ErrNotFound) {
		return http.StatusServiceUnavailable
	}
	return http.StatusInternalServerError
}
