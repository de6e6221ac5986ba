// Package codec encodes the configuration as JSON, decodes it into the domain
// types and validates it as a whole. The client address blocks are stored in
// separate parts, which the document references by their hash.
package codec
