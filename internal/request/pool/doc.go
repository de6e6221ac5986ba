// Package pool maintains HTTP/1.1 connections to targets and peers. It sends one
// request at a time on a connection, never retries a request by itself, and
// reports for every failure whether any byte of the request may have been written.
package pool
