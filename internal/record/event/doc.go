// Package event defines the numbered log events and their catalogue.
package event
