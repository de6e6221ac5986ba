// Package store is a client for the platform's key-value service. Its errors
// distinguish calls that certainly had no effect from writes that may have taken effect.
package store
