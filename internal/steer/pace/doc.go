// Package pace bounds the requests that a cold target receives from all entries together.
package pace
