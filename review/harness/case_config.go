package main

import (
	"errors"
	"fmt"
	"net/http"
	"strings"
	"time"
)

func init() {
	cases["same-name"] = struct {
		run    caseFunc
		losses int
	}{sameName, 1}
}

// sameName changes the config so that two hosts have a route of the same name.
func sameName(dep *deployment, trouble bool) (string, error) {
	sh, err := newShop(dep, 20*time.Millisecond, 4, 2)
	if err != nil {
		return "", err
	}
	second := "orders-b"
	if trouble {
		second = "orders"
	}
	cfg := configData{Version: 2, Base: 1, Services: []string{"front", "cutting"}, Hosts: []hostData{
		{Name: "shop.example", Routes: []routeData{{Name: "orders", Prefix: "/cutting/", Kind: names.KindOnce, Service: "cutting", TimeoutMS: 6000, TargetMS: 3000}}},
		{Name: "club.example", Routes: []routeData{{Name: second, Prefix: "/cuts/", Kind: names.KindOnce, Service: "cutting", TimeoutMS: 6000, TargetMS: 3000}}},
	}}
	if status := sh.op.put(cfg, 10*time.Second); status != http.StatusOK {
		if trouble {
			return "", nil // A config that is refused breaks no rule here.
		}
		return "", fmt.Errorf("the config was answered %d", status)
	}
	time.Sleep(3 * time.Second)
	other := newRequester(sh.front, "club.example", http.MethodPost, "/cuts/1", 3*time.Second)
	missing := 0
	for range 10 {
		if sh.requests.send().status == http.StatusNotFound {
			missing++
		}
		if other.send().status == http.StatusNotFound {
			missing++
		}
	}
	body, ok := sh.op.get(10 * time.Second)
	if !ok {
		return "", errors.New("the config could not be read")
	}
	dep.rec.add("read back: %s", body)
	lost := ""
	for _, prefix := range []string{"/cutting/", "/cuts/"} {
		if !strings.Contains(string(body), `"`+prefix+`"`) {
			lost += " " + prefix
		}
	}
	if missing == 0 && lost == "" {
		return "", nil
	}
	return fmt.Sprintf("CONFIG: %d of 20 requests on routes of the acknowledged config got 404; the config that is read back lacks the route%s", missing, lost), nil
}
