// Package table holds the steering tables that the systems read and update
// once per tick. Nothing in it is safe for concurrent use.
package table
