// Package warm ramps up the load of new and returned targets after a cold start.
package warm
