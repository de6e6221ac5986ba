// Package inbound serves callers over HTTP/1.1: it reads requests that are
// pipelined while earlier ones are in progress, answers in the order of the
// requests, notices callers that leave, and stops without cutting a request.
package inbound
