// Package block finds the availability zone nearest to a client's address.
package block
