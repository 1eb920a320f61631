package e2e_test

import (
	"encoding/json"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rogpeppe/go-internal/testscript"
)

// TestWhereOfOrganisations runs the scenario in testdata/scripts: what operators see of an
// organisation and its quota agrees with what its callers get.
func TestWhereOfOrganisations(t *testing.T) {
	fl := newOrganisationFleet(t)
	testscript.Run(t, testscript.Params{
		Files: []string{"testdata/scripts/where_organisation.txtar"}, RequireExplicitExec: true,
		Setup: func(env *testscript.Env) error {
			fl.setEnv(env)
			env.Setenv("ACME_KEY", "first-key")
			return nil
		},
	})
}

// TestWhereExplainsPlacement asks running daemons where a request would go, with wait
// estimates and without. It guards against an explanation that can't be had from outside,
// and against one that sends the request.
func TestWhereExplainsPlacement(t *testing.T) {
	is := is.New(t)
	fl := newQuillotaFleet(t, 1, 5*time.Millisecond)
	for _, quotes := range []string{"0", "2"} {
		fl.ctl("settings", "set", "root", "quotes", quotes, "--reason", "test", "--wait")
		var where struct {
			Service, Kind, Verdict string
			Candidates             []struct{ Chosen, Asked bool }
		}
		output := fl.ctl("where", "GET", "/catalogo/stock/7", "--output", "json")
		is.NoErr(json.Unmarshal([]byte(output), &where))
		is.Equal(where.Service+"/"+where.Kind, "catalogo/stockLookup")
		is.Equal(len(where.Candidates), 3)
		chosen, asked := 0, 0
		for _, candidate := range where.Candidates {
			if candidate.Chosen {
				chosen++
			}
			if candidate.Asked {
				asked++
			}
		}
		is.Equal(chosen, 1)
		is.Equal(asked > 0, quotes == "2")
		is.True(strings.HasPrefix(where.Verdict, "goes to"))
	}
	is.True(strings.Contains(fl.ctl("where", "GET", "/catalogo/stock/7"), "goes to"))
	is.True(strings.Contains(fl.ctlOutput("where", "GET", "/nowhere"), "no configured kind of request matches"))
}
