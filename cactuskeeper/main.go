// Command cactuskeeper stores and replicates the settings of a cactusstream
// fleet.
package main

import (
	"os"

	"cactusstream.example/cactuskeeper/internal/cmd"
)

func main() {
	os.Exit(cmd.Main(os.Args[1:], os.Stdout, os.Stderr))
}
