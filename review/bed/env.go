package main

import (
	"os"
	"strconv"
)

// envInt returns the number in an environment variable, or otherwise if it holds none.
func envInt(name string, otherwise int) int {
	if n, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return n
	}
	return otherwise
}
