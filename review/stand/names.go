package main

import (
	_ "embed"
	"encoding/json"
)

// names are the names of the platform's interface. They are data here, as the names of the
// platform have no place in code outside of its adapter.
var names = mustReadNames()

//go:embed names.json
var namesFile []byte

type wireNames struct {
	RequestID        string `json:"requestID"`
	Deadline         string `json:"deadline"`
	Seal             string `json:"seal"`
	Target           string `json:"target"`
	Instance         string `json:"instance"`
	Tenant           string `json:"tenant"`
	Credential       string `json:"credential"`
	SettingsVariable string `json:"settingsVariable"`
	Hosts            string `json:"hosts"`
	Base             string `json:"base"`
	Prefix           string `json:"prefix"`
	Attempts         string `json:"attempts"`
	TargetLatency    string `json:"targetLatency"`
	Health           string `json:"health"`
	ColdRemaining    string `json:"coldRemaining"`
	Keys             string `json:"keys"`
	Rate             string `json:"rate"`
	OnceOnly         string `json:"onceOnly"`
	Tolerance        string `json:"tolerance"`
	Ports            string `json:"ports"`
	// Bounds are the bounds of a small deployment, as the settings of a process have them.
	Bounds string `json:"bounds"`
}

func mustReadNames() wireNames {
	var read wireNames
	if err := json.Unmarshal(namesFile, &read); err != nil {
		panic(err)
	}
	return read
}
