// Package pace limits the rate of requests that a cold target receives from all entries together.
// A cold target accepts only a low rate of requests until it has warmed up.
package pace
