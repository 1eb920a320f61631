package main

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

func init() { cases["revoke"] = playRevoke }

// playRevoke takes the only key of the only tenant away. Requests with that key, and one with a
// key that never was in a config, follow.
func playRevoke(sc *scene) (bool, error) {
	const key = "cq-7f3a91c2e6"
	var mu sync.Mutex
	keyPassedOn, withoutTenant, runs := 0, 0, 0
	en := &endpoint{id: "i-1", slots: 8, work: func(req *http.Request) time.Duration {
		mu.Lock()
		defer mu.Unlock()
		runs++
		tenant, credential := req.Header.Get(names.Tenant), req.Header.Get(names.Credential)
		if credential != "" {
			keyPassedOn++
		}
		if tenant != "bureau-one" {
			withoutTenant++
		}
		sc.rec.note("endpoint i-1 got tenant %q and key %q", tenant, credential)
		return 10 * time.Millisecond
	}}
	services := []string{"registry"}
	routes := []route{{"lodge", "/lodge/", names.OnceOnly, "registry", 4000, 2}}
	tenants := func(keys ...string) map[string]any {
		if keys == nil {
			keys = []string{}
		}
		return map[string]any{"tenants": []map[string]any{{"name": "bureau-one", names.Keys: keys, "priority": 1}}}
	}
	op, err := sc.setUp(3, []string{"registry", "registry"}, []*endpoint{en, nil}, config(3, 0, host, services, routes, tenants(key)))
	if err != nil {
		return false, err
	}
	address := sc.fl.daemons[1].settings["listen.outbound"]
	send := func(id, credential string) answer {
		con, err := dialRaw(address, 0)
		if err != nil {
			return answer{err: err}
		}
		defer con.Close()
		_ = con.SetDeadline(time.Now().Add(5 * time.Second))
		_, _ = io.WriteString(con, head("POST", "/lodge/return", host, id, 3000, names.Credential+": "+credential+"\r\nContent-Length: 4\r\n")+"data")
		an := con.read(0, 0)
		sc.rec.note("requester: %s with key %q: %v", id, credential, an)
		return an
	}
	served := false
	for i, end := 0, time.Now().Add(10*time.Second); !served && time.Now().Before(end); i++ {
		served = send(fmt.Sprintf("before-%d", i), key).status == 200
		time.Sleep(100 * time.Millisecond)
	}
	if !served {
		return false, fmt.Errorf("%w: no request was served", errInvalid)
	}
	if an := send("unknown-before", "another"); an.status != 401 {
		return false, fmt.Errorf("%w: an unknown key was not refused before: %v", errInvalid, an)
	}
	if sc.trouble {
		if status := op.put(config(5, 3, host, services, routes, tenants()), 4*time.Second, requestLimit); status != 200 {
			return false, fmt.Errorf("%w: the config without the key got status %d", errInvalid, status)
		}
		sc.rec.note("r5, which takes the key away, is confirmed")
	}
	time.Sleep(6 * time.Second)
	mu.Lock()
	ranBefore, wrongBefore := runs, keyPassedOn+withoutTenant
	mu.Unlock()
	for i := range 10 {
		send(fmt.Sprintf("after-%d", i), key)
	}
	send("unknown-after", "another")
	mu.Lock()
	defer mu.Unlock()
	sc.rec.note("%d requests were run after that; in all, the key was passed on to the endpoint %d times, and %d runs had another tenant or none", runs-ranBefore, keyPassedOn, withoutTenant)
	if sc.trouble {
		return runs > ranBefore, nil
	}
	if runs == ranBefore {
		return false, fmt.Errorf("%w: the key was refused although it was not taken away", errInvalid)
	}
	return keyPassedOn+withoutTenant > wrongBefore, nil
}
