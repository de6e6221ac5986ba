package operator

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/kataras/iris/v12"
	"github.com/rcrowley/go-metrics"

	"tamarackspool/internal/config/history"
	"tamarackspool/internal/record/event"
)

// minTokenBytes is the minimum length of the token, against guessing.
const minTokenBytes = 16

// Configuration holds the adopted version; *current.Current implements it.
type Configuration interface {
	Raw() (version uint64, hash [32]byte, data []byte)
	Adopt(version uint64, hash [32]byte, data []byte) (bool, error)
}

// History accepts patches and returns the audit trail; *history.History implements it.
type History interface {
	Submit(ctx context.Context, p history.Patch) (history.Outcome, error)
	Audit(ctx context.Context, from uint64) ([]history.AuditRecord, error)
	Refusals(ctx context.Context) ([]history.Refusal, error)
}

// Reporter returns the status of the entry.
type Reporter interface {
	Status() Status
}

// Announcer pushes the adopted version to peers and returns after one attempt.
type Announcer interface {
	Announce(ctx context.Context)
}

// Logger writes numbered events; *event.Log implements it.
type Logger interface {
	Log(n event.Number, keyvals ...any)
}

// Dependencies are the parts of the entry that the API reads and changes.
type Dependencies struct {
	Configuration Configuration
	History       History
	Reporter      Reporter
	Announcer     Announcer // Announcer may be nil.
	Fleet         Fleet     // Fleet may be nil; then the status has only this entry's part.
	Metrics       metrics.Registry
	Log           Logger
	Now           func() time.Time
}

// API is the operators' HTTP API as an http.Handler; it is safe for concurrent use.
type API struct {
	deps      Dependencies
	token     [32]byte // SHA-256 of the token, so a comparison takes the same time for every length
	app       *iris.Application
	collector *collector
}

// New returns an API that requires the given token, or an error if the token has fewer than 16 bytes.
func New(token string, d Dependencies) (*API, error) {
	if len(token) < minTokenBytes {
		return nil, fmt.Errorf("operator: token has %d bytes; at least %d are required", len(token), minTokenBytes)
	}
	if d.Now == nil {
		d.Now = time.Now
	}
	a := &API{deps: d, token: sha256.Sum256([]byte(token)), app: iris.New()}
	a.collector = &collector{deps: d, byRegions: make(map[string]*cachedStatus)}
	a.app.Logger().SetLevel("disable") // the event log is the only log
	a.app.UseRouter(a.authorize)
	a.app.Get("/config", a.config)
	a.app.Post("/patch", a.patch)
	a.app.Post("/drain", a.drain)
	a.app.Get("/status", a.status)
	a.app.Get("/audit", a.audit)
	a.app.Get("/metrics", a.metrics)
	if err := a.app.Build(); err != nil {
		return nil, fmt.Errorf("operator: %w", err)
	}
	return a, nil
}

// ServeHTTP serves one request.
func (a *API) ServeHTTP(w http.ResponseWriter, r *http.Request) { a.app.ServeHTTP(w, r) }

// authorize rejects requests without the token; neither the token nor the header is logged.
func (a *API) authorize(c iris.Context) {
	given, ok := strings.CutPrefix(c.GetHeader("Authorization"), "Bearer ")
	sum := sha256.Sum256([]byte(given))
	if !ok || subtle.ConstantTimeCompare(sum[:], a.token[:]) != 1 {
		a.deps.Log.Log(event.OperatorDenied, "remote", c.Request().RemoteAddr, "path", c.Path())
		c.Header("WWW-Authenticate", "Bearer")
		a.sendError(c, http.StatusUnauthorized, errors.New("operator: missing or wrong token"))
		return
	}
	c.Next()
}

func (a *API) sendError(c iris.Context, code int, err error) {
	a.send(c, code, errorWire{err.Error()})
	c.StopExecution()
}

func (a *API) send(c iris.Context, code int, out any) {
	c.StatusCode(code)
	// A write error means that the client has disconnected.
	_ = c.JSON(out)
}
