// Package current holds the configuration version that this process has adopted,
// and the floor, the lowest version with which it may serve requests.
package current
