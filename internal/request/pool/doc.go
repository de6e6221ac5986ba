// Package pool keeps HTTP/1.1 connections to targets and peers. It sends one
// request at a time on a connection, never repeats a request by itself, and
// tells for every failure whether any byte of the request was written.
package pool
