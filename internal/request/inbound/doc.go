// Package inbound serves callers over HTTP/1.1: it reads pipelined requests
// while earlier ones are in progress, answers in the order of the requests,
// detects callers that disconnect, and shuts down without cutting a request.
package inbound
