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

// shortest is the least length of the token in bytes, against guessing.
const shortest = 16

// Configuration is the adopted version; *current.Current is one.
type Configuration interface {
	Raw() (version uint64, hash [32]byte, data []byte)
	Adopt(version uint64, hash [32]byte, data []byte) (bool, error)
}

// History accepts patches and knows the audit trail; *history.History is one.
type History interface {
	Submit(ctx context.Context, p history.Patch) (history.Outcome, error)
	Audit(ctx context.Context, from uint64) ([]history.AuditRecord, error)
	Refusals(ctx context.Context) ([]history.Refusal, error)
}

// Reporter gives the status of the entry.
type Reporter interface {
	Status() Status
}

// Announcer pushes the adopted version to peers and returns when it has tried.
type Announcer interface {
	Announce(ctx context.Context)
}

// Logger writes numbered events; *event.Log is one.
type Logger interface {
	Log(n event.Number, keyvals ...any)
}

// Dependencies are the parts of the entry that the API shows and changes.
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
	d     Dependencies
	token [32]byte // SHA-256 of the token, so that a comparison takes the same time for every length
	app   *iris.Application
	fleet *collector
}

// New returns the API behind the given token, which has at least 16 bytes.
func New(token string, d Dependencies) (*API, error) {
	if len(token) < shortest {
		return nil, fmt.Errorf("operator: token has %d bytes; at least %d are accepted", len(token), shortest)
	}
	if d.Now == nil {
		d.Now = time.Now
	}
	a := &API{d: d, token: sha256.Sum256([]byte(token)), app: iris.New()}
	a.fleet = &collector{d: d, views: make(map[string]*view)}
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

// ServeHTTP answers one call.
func (a *API) ServeHTTP(w http.ResponseWriter, r *http.Request) { a.app.ServeHTTP(w, r) }

// authorize refuses calls without the token; neither the token nor the header is logged.
func (a *API) authorize(c iris.Context) {
	given, ok := strings.CutPrefix(c.GetHeader("Authorization"), "Bearer ")
	sum := sha256.Sum256([]byte(given))
	if !ok || subtle.ConstantTimeCompare(sum[:], a.token[:]) != 1 {
		a.d.Log.Log(event.OperatorDenied, "remote", c.Request().RemoteAddr, "path", c.Path())
		c.Header("WWW-Authenticate", "Bearer")
		a.fail(c, http.StatusUnauthorized, errors.New("operator: missing or wrong token"))
		return
	}
	c.Next()
}

func (a *API) fail(c iris.Context, code int, err error) {
	a.send(c, code, errorWire{err.Error()})
	c.StopExecution()
}

func (a *API) send(c iris.Context, code int, out any) {
	c.StatusCode(code)
	// A client that has gone needs no answer.
	_ = c.JSON(out)
}
