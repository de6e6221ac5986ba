// Package policy measures steering policies side by side in a small
// discrete-event simulation of callers, entries, targets and links.
package policy
