package raw

import (
	"io"
	"net/http"
	"net/http/httptest"
)

// NewServer starts a server that answers each request with the text as it stands and then closes the connection. The caller
// must close it.
func NewServer(text string) *httptest.Server {
	return httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { Answer(w, text) }))
}

// Answer answers a request with the text as it stands and closes the connection.
func Answer(w http.ResponseWriter, text string) {
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(err)
	}
	defer c.Close()
	_, _ = io.WriteString(c, text) // The client may have closed the connection after the part that it rejects.
}
