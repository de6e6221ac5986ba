// Package load estimates the load of each target from this entry's own counts and the target's reports.
package load
