// Package refusal decides when a caller that is refused should come back.
package refusal
