// Package loan decides which unused share of a link an entry lends to which peer.
package loan
