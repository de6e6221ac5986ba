// Package event defines the numbered log events and their catalogue for operators, and writes them as log lines.
package event
