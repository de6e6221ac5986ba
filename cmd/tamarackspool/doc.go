// Command tamarackspool runs and operates a global traffic steering system.
package main
