// Package pace limits the rate of requests that a cold target receives from all entries together.
package pace
