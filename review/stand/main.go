// Command stand plays the scripts of the second review. It starts the programs of the deploy
// file as processes on loopback addresses, and plays their endpoints, requesters and operator.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// The results of a case.
const (
	held    = 0
	broken  = 1
	invalid = 2
)

// maxDuration ends a case that takes too long.
const maxDuration = 110 * time.Second

var errInvalid = errors.New("the case could not run")

// scene is what a case has to work with.
type scene struct {
	fl      *fleet
	rec     *recorder
	trouble bool
}

var cases = map[string]func(*scene) (bool, error){}

func main() {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: stand CASE REPOSITORY RECORD")
		os.Exit(invalid)
	}
	os.Exit(run(os.Args[1], os.Args[2], os.Args[3]))
}

func run(name, root, path string) int {
	play := cases[name]
	rec, err := newRecorder(path)
	if play == nil || err != nil {
		fmt.Fprintln(os.Stderr, "stand:", name, err)
		return invalid
	}
	fl, err := newFleet(root, rec)
	if err != nil {
		fmt.Fprintln(os.Stderr, "stand:", err)
		return invalid
	}
	defer fl.close()
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		select {
		case <-stopped:
		case <-time.After(maxDuration):
		}
		fl.close()
		fmt.Println("could not run: stopped")
		os.Exit(invalid)
	}()
	trouble := os.Getenv("TROUBLE") != "0"
	rec.note("case %s, trouble: %t", name, trouble)
	isBroken, err := play(&scene{fl: fl, rec: rec, trouble: trouble})
	switch {
	case err != nil:
		rec.note("could not run: %v", err)
		fmt.Println("could not run:", err)
		return invalid
	case isBroken:
		rec.note("result: the rule was broken")
		fmt.Println("the rule was broken")
		return broken
	}
	rec.note("result: the rule held")
	fmt.Println("the rule held")
	return held
}

// setUp starts the fleet, its endpoints, and waits until a config is in force and all daemons
// are ready.
func (sc *scene) setUp(keepers int, services []string, endpoints []*endpoint, cfg []byte) (*operator, error) {
	for i := range keepers {
		sc.fl.addKeeper(fmt.Sprintf("zone-%c", 'a'+i%3))
	}
	for i, service := range services {
		sc.fl.addDaemon(fmt.Sprintf("zone-%c", 'a'+i%3), service)
	}
	if err := sc.fl.startAll(); err != nil {
		return nil, err
	}
	op := &operator{rec: sc.rec}
	for _, pr := range sc.fl.keepers {
		op.targets = append(op.targets, pr.settings["listen.control"])
	}
	for i, en := range endpoints {
		if en == nil {
			continue
		}
		pr := sc.fl.daemons[i]
		en.rec, en.service, en.zone = sc.rec, pr.settings["service"], pr.settings["zone"]
		en.address, en.control = pr.settings["app_addr"], pr.settings["listen.control"]
		if err := en.start(); err != nil {
			return nil, err
		}
	}
	if cfg != nil {
		if status := op.put(cfg, setUpLimit, requestLimit); status != 200 {
			return nil, fmt.Errorf("%w: the first config got status %d", errInvalid, status)
		}
	}
	for _, pr := range sc.fl.daemons {
		if cfg != nil && !ready(pr.ip, setUpLimit) {
			return nil, fmt.Errorf("%w: %s isn't ready", errInvalid, pr.name)
		}
	}
	return op, nil
}
