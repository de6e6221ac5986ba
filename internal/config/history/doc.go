// Package history keeps the versions of the configuration and their audit trail
// in the key-value service. The value config/head is the only point of commit:
// a version exists once its head has been written by compare-and-swap.
package history
