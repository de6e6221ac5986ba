// Package store is the client of the platform's key-value service. It separates
// calls that certainly had no effect from writes whose effect is unknown.
package store
