// Package load generates open-loop load, runs it against entries and compares
// the responses with the ideal bound of docs/design.md section 1.2.
package load
