// Package overload sets admission by priority and the retry budget.
package overload
