// Command tamarackedge runs one entry of tamarackspool on the users' platform.
package main
