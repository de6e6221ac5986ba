// Package document defines the operators' configuration as immutable domain
// types. Values are safe for concurrent use because nothing changes them after
// construction.
package document
