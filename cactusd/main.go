// Command cactusd is the daemon of a cactusstream fleet that runs beside the
// upstreams of one VM.
package main

import (
	"os"

	"cactusstream.example/cactusd/internal/cmd"
)

func main() {
	os.Exit(cmd.Main(os.Args[1:], os.Stdout, os.Stderr))
}
