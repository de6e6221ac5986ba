// Package upstream sends requests to targets over pooled keep-alive connections
// and reports with each failure whether the target may have received the request.
package upstream
