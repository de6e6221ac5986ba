// Package codec maps the configuration between its JSON form and the domain
// types and checks it as a whole. Client blocks are kept in parts of their own,
// which the document names by their hash.
package codec
