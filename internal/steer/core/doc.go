// Package core runs the steering systems in a fixed order once per tick and publishes the resulting snapshots.
package core
