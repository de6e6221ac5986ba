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

var errNoConfiguration = errors.New("operator: no configuration adopted yet")

// config handles GET /config with the adopted document; the ETag header holds its hash.
func (a *API) config(c iris.Context) {
	version, hash, data := a.deps.Configuration.Raw()
	if version == 0 {
		a.sendError(c, http.StatusServiceUnavailable, errNoConfiguration)
		return
	}
	c.Header("ETag", strconv.Quote(hex.EncodeToString(hash[:])))
	c.ContentType("application/json")
	// A write error means that the client has disconnected.
	_, _ = c.Write(data)
}

// audit handles GET /audit?from=V with the records of versions from V on and the most recent refusals.
func (a *API) audit(c iris.Context) {
	from, err := strconv.ParseUint(c.URLParamDefault("from", "0"), 10, 64)
	if err != nil {
		a.sendError(c, http.StatusBadRequest, fmt.Errorf("operator: from %q is not a version number", c.URLParam("from")))
		return
	}
	list, err := a.deps.History.Audit(c.Request().Context(), from)
	if err != nil {
		a.sendError(c, historyErrorCode(err), err)
		return
	}
	refused, err := a.deps.History.Refusals(c.Request().Context())
	if err != nil {
		a.sendError(c, historyErrorCode(err), err)
		return
	}
	a.send(c, http.StatusOK, trailWire{wireAudit(list), wireRefusals(refused)})
}

// metrics handles GET /metrics with all metrics as one JSON object.
func (a *API) metrics(c iris.Context) {
	values := map[string]map[string]any{}
	if a.deps.Metrics != nil {
		values = a.deps.Metrics.GetAll()
	}
	a.send(c, http.StatusOK, values)
}

// historyErrorCode returns the HTTP status for an error of the history.
func historyErrorCode(err error) int {
	if errors.Is(err, store.ErrUnavailable) || errors.Is(err, store.ErrOutcomeUnknown) || errors.Is(err, store.ErrNotFound) {
		return http.StatusServiceUnavailable
	}
	return http.StatusInternalServerError
}
