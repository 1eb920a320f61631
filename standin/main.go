// Command standin plays an upstream or a caller, for tests, measurements and
// the demo only.
package main

import (
	"os"

	"cactusstream.example/standin/internal/cmd"
)

func main() {
	os.Exit(cmd.Main(os.Args[1:], os.Stdout, os.Stderr))
}
