// Package link divides the bytes of each link into shares and loans.
package link
