// Package history stores the versions of the configuration and their audit trail
// in the key-value service. The value of the key config/head, called the head, is
// the single commit point: a version exists once the head that names it has been
// written by compare-and-swap.
package history
