// Package split decides how much of a region's traffic other entries and regions may take.
package split
