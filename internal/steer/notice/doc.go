// Package notice keeps what targets announce about themselves in their answers: that they are leaving, and that they
// want no requests for some time (a pause). A notice belongs to one incarnation of a target, not to its address, and
// holds whatever the store or another entry says of the target.
package notice
