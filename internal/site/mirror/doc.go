// Package mirror keeps a replica of the platform's key-value store in each entry. It
// reads changes from the store, through the entry that reads it for others or, while
// the store does not answer, from any other entry.
package mirror
