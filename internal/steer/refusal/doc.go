// Package refusal computes the Retry-After delay of a refused request.
package refusal
