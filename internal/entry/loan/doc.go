// Package loan decides how much of its unused share of a link's bandwidth an
// entry lends to which peers, and for how long.
package loan
