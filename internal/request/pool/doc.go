// Package pool maintains HTTP/1.1 connections to targets and peers. It sends one
// request at a time on a connection, never retries a request by itself, and
// reports for every failure whether any byte of the request may have been written.
//
// A connection is silent if it is still open but no longer transmits data, for
// example because the network drops its packets.
package pool
