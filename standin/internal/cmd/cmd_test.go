package cmd_test

import (
	"os"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	"cactusstream.example/standin/internal/cmd"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"standin": func() { os.Exit(cmd.Main(os.Args[1:], os.Stdout, os.Stderr)) },
	})
}

// TestScripts runs the command line scripts in testdata/scripts.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{Dir: "testdata/scripts", RequireExplicitExec: true})
}
