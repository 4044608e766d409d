// Command agateplatform runs agategate with the configuration file, interfaces and
// header names of the users' platform; see package platform.
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
