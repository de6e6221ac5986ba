// Package console is the client side of the operators' API for the commands
// patch, config, status, drain and audit. It prints tables, or JSON on request.
package console
