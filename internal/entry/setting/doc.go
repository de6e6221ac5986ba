// Package setting checks the settings of an entry before it starts. Errors
// name the flag, its value and the accepted range.
package setting
