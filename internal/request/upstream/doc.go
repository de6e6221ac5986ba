// Package upstream sends requests to targets over kept connections and says of
// each failure whether the target may have received the request.
package upstream
