// Package spend bounds how much work all entries together add by sending
// requests to a second target.
package spend
