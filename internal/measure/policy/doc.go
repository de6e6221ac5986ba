// Package policy measures steering policies side by side on a small
// discrete-event fake of callers, entries, targets and links.
package policy
