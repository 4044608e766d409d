// Command agateplatform runs agategate on the users' platform.
//
// Usage:
//
//	agateplatform entry
//	agateplatform control
package main

import (
	"os"

	"agategate/platform"
)

func main() { os.Exit(platform.Main(os.Args[1:])) }
