// Package target describes a target from its registration in the platform's store.
package target
