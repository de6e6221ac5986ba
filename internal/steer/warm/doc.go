// Package warm ramps up new and returned targets.
package warm
