// Package load generates open-loop load, sends it to entries and compares the
// response times with the lower bound of docs/design.md section 1.2, called the ideal.
package load
