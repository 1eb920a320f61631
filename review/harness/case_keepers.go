package main

import (
	"errors"
	"fmt"
	"net/http"
	"time"
)

const (
	// catchUp is how long a machine counts as lost after its start.
	catchUp = 4 * time.Second
	// recoveryTime is how long the system may take after the machines are back.
	recoveryTime = 15 * time.Second
)

// simpleConfig returns a config with one route for each service.
func simpleConfig(version, base int, services ...string) configData {
	cfg := configData{Version: version, Base: base, Services: services}
	host := hostData{Name: "shop.example"}
	for i, service := range services {
		host.Routes = append(host.Routes, routeData{Name: fmt.Sprintf("route-%d", i), Prefix: "/" + service + "/", Kind: names.KindOnce, Service: service, TimeoutMS: 6000, TargetMS: 3000})
	}
	cfg.Hosts = []hostData{host}
	return cfg
}

func init() {
	cases["removed-keeper"] = struct {
		run    caseFunc
		losses int
	}{removedKeeper, 2}
}

// removedKeeper replaces a keeper as planned and then loses as many disks as the
// deployment has to bear, right after a config was acknowledged.
func removedKeeper(dep *deployment, trouble bool) (string, error) {
	var cores []*machine
	for i := range 5 {
		cores = append(cores, dep.addKeeper(fmt.Sprintf("core-%d", i+1), fmt.Sprintf("zone-%d", i%3+1)))
	}
	if err := dep.startAll(); err != nil {
		return "", err
	}
	op := newOperator(dep.rec, cores)
	if status := op.put(simpleConfig(1, 0, "cutting"), 20*time.Second); status != http.StatusOK {
		return "", errors.New("the first config was not acknowledged")
	}
	live := cores
	if trouble {
		successor := dep.addKeeper("core-6", "zone-1")
		if err := successor.start(); err != nil {
			return "", err
		}
		time.Sleep(2 * catchUp)
		removed := op.leader()
		if removed == nil {
			return "", errors.New("no leader is known")
		}
		dep.rec.add("%s leads and is removed; its successor %s started %s ago", removed.Name, successor.Name, 2*catchUp)
		removed.terminate()
		live = nil
		for _, mac := range append(cores, successor) {
			if mac != removed {
				live = append(live, mac)
			}
		}
		op.cores = live
		time.Sleep(1500 * time.Millisecond)
	}
	if status := op.put(simpleConfig(2, 1, "cutting"), 10*time.Second); status != http.StatusOK {
		return "", errors.New("the second config was not acknowledged")
	}
	if trouble {
		lost := live[:dep.losses]
		for _, mac := range lost {
			mac.kill()
			if err := mac.wipe(); err != nil {
				return "", err
			}
		}
		time.Sleep(time.Second)
		for _, mac := range lost {
			if err := mac.start(); err != nil {
				return "", err
			}
		}
	}
	back := time.Now()
	body, ok := op.get(2 * recoveryTime)
	if !ok {
		return fmt.Sprintf("CONFIG: no machine has returned the config for %.0f s after all were back, though it was acknowledged", time.Since(back).Seconds()), nil
	}
	if !containsVersion(body, 2) {
		return "CONFIG: the config that was read back is older than the one that was acknowledged", nil
	}
	return "", nil
}

// leader returns the machine that answers a read itself instead of redirecting it.
func (op *operator) leader() *machine {
	client := &http.Client{Transport: op.client.Transport, Timeout: time.Second, CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}
	for _, mac := range op.cores {
		resp, err := client.Get("http://" + mac.controlAddress() + "/config")
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return mac
		}
	}
	return nil
}
