// Package table holds the state that the steering systems read and update once
// per tick, as tables of rows. Nothing in it is safe for concurrent use.
package table
