// Package shift caps how fast traffic moves between regions.
package shift
