// Package raw is a stand-in for a server whose answers are no valid HTTP.
package raw
