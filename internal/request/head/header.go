package head

import (
	"fmt"
	"net/http"

	"golang.org/x/net/http/httpguts"
)

// minStatus and maxStatus bound the statuses that HTTP defines.
const minStatus, maxStatus = 100, 599

// CheckStatus returns an error that matches ErrInvalid for a status that HTTP does not define.
func CheckStatus(status int) error {
	if status < minStatus || status > maxStatus {
		return fmt.Errorf("%w: undefined status %03d", ErrInvalid, status)
	}
	return nil
}

// CheckNames returns an error that matches ErrInvalid when the name of a parsed field is not one of HTTP.
func CheckNames(h http.Header) error {
	for name := range h {
		if !httpguts.ValidHeaderFieldName(name) {
			return fmt.Errorf("%w: field name %q", ErrInvalid, name)
		}
	}
	return nil
}
