// Package link divides the byte rate of each link between regions into shares and loans.
package link
