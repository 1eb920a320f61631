// Harness runs the cases of the review: it starts the project's programs as the deploy
// file says, with small stand-ins for the platform, the operator, endpoints and
// requesters, and checks one rule.
//
// Usage:
//
//	harness CASE FOLDER
//
// It writes FOLDER/record.txt and exits with 1 if the rule was broken, 0 if it held, and 2
// if the case couldn't run. With TROUBLE=0 in the environment it leaves the disruption out.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitUnable = 2
	// maxRun ends a case that hangs.
	maxRun = 115 * time.Second
)

// caseFunc runs a case and returns what broke the rule, or "".
type caseFunc func(dep *deployment, trouble bool) (string, error)

var cases = map[string]struct {
	run caseFunc
	// losses is the number of machines whose loss the deployment has to bear.
	losses int
}{}

func main() {
	os.Exit(run())
}

func run() int {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: harness CASE FOLDER")
		return exitUnable
	}
	entry, ok := cases[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "unknown case", os.Args[1])
		return exitUnable
	}
	rec, err := newRecorder(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitUnable
	}
	dep, err := newDeployment(rec, entry.losses)
	if err != nil {
		rec.add("could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitUnable
	}
	defer dep.close()
	trouble := os.Getenv("TROUBLE") != "0"
	rec.add("case %s, disruption: %v", os.Args[1], trouble)
	type result struct {
		broken string
		err    error
	}
	done := make(chan result, 1)
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		broken, err := entry.run(dep, trouble)
		done <- result{broken, err}
	}()
	select {
	case res := <-done:
		switch {
		case res.err != nil:
			rec.add("could not run: %v", res.err)
			fmt.Println("could not run:", res.err)
			return exitUnable
		case res.broken != "":
			rec.add("BROKEN: %s", res.broken)
			fmt.Println("broken:", res.broken)
			return exitBroken
		}
		rec.add("the rule held")
		fmt.Println("the rule held")
		return exitHeld
	case sig := <-stop:
		rec.add("could not run: %s", sig)
		return exitUnable
	case <-time.After(maxRun):
		rec.add("could not run: no end after %s", maxRun)
		return exitUnable
	}
}
