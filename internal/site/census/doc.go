// Package census holds the registrations of the running entries: it selects the
// entries that callers' lookups return and the entry that reads the store for others.
package census
