// Package current holds the version of the configuration that this process has
// adopted, and the floor below which it must not serve.
package current
