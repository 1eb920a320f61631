// Command cactusctl is the operators' shell of a cactusstream fleet.
package main

import (
	"os"

	"cactusstream.example/cactusctl/internal/cmd"
)

func main() {
	os.Exit(cmd.Main(os.Args[1:], os.Stdout, os.Stderr))
}
