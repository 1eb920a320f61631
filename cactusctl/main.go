// Command cactusctl is the command-line client for operators of a cactusstream fleet.
package main

import (
	"os"

	"cactusstream.example/cactusctl/internal/cmd"
)

func main() {
	os.Exit(cmd.Main(os.Args[1:], os.Stdout, os.Stderr))
}
