// Package target describes the targets that register themselves on the platform.
package target
