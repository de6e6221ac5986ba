// Package core runs the steering systems in their order and publishes snapshots.
package core
