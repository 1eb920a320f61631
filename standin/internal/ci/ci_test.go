// Package ci_test tests scripts/test.sh in a temporary directory tree with a fake
// go command.
package ci_test

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
)

func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata", RequireExplicitExec: true,
		Setup: func(env *testscript.Env) error {
			script, err := os.ReadFile("../../../scripts/test.sh")
			if err != nil {
				return err
			}
			for _, dir := range []string{"scripts", "core", "cactusctl", "cactusd", "cactuskeeper", "platform", "standin"} {
				if err := os.MkdirAll(filepath.Join(env.WorkDir, dir), 0o700); err != nil {
					return err
				}
			}
			env.Setenv("PATH", filepath.Join(env.WorkDir, "bin")+string(os.PathListSeparator)+os.Getenv("PATH"))
			env.Setenv("CALLS", filepath.Join(env.WorkDir, "calls"))
			return os.WriteFile(filepath.Join(env.WorkDir, "scripts", "test.sh"), script, 0o700)
		},
	})
}
