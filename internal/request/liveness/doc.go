// Package liveness tells a peer that no longer answers from one that does not read, by the kernel's account of a TCP
// connection. TCP_USER_TIMEOUT cannot: it also ends a connection whose peer acknowledges each probe of its closed window.
package liveness
