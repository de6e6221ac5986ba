// Package operator serves the operators' HTTP API of an entry: configuration,
// patches, drains, status, audit trail and metrics, behind a token.
package operator
