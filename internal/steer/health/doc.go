// Package health tracks the health of targets from the results of this entry's requests (passive health checks).
package health
