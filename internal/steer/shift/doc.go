// Package shift limits how fast traffic can move between regions.
package shift
