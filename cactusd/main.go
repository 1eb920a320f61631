// Command cactusd is the daemon of a cactusstream fleet. It runs on the same VM
// as a group of upstreams, and proxies requests to the upstreams of the whole
// fleet.
package main

import (
	"os"

	"cactusstream.example/cactusd/internal/cmd"
)

func main() {
	os.Exit(cmd.Main(os.Args[1:], os.Stdout, os.Stderr))
}
