// Package load estimates the load of each target from observation and reports.
package load
