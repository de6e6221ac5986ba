// Package setting validates the settings of an entry before it starts. Errors
// contain the flag, its value and the accepted range.
package setting
