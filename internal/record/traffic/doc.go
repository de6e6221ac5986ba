// Package traffic counts the bytes that connections receive and send.
package traffic
