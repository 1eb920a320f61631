// Command standin simulates upstreams and callers. It is used by the tests, the
// measurements and the demo.
package main

import (
	"os"

	"cactusstream.example/standin/internal/cmd"
)

func main() {
	os.Exit(cmd.Main(os.Args[1:], os.Stdout, os.Stderr))
}
