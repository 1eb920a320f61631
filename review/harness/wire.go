package main

import (
	"embed"
	"encoding/json"
	"fmt"
	"strings"
	"text/template"
)

// The names and bodies of the platform's protocol are data files.
//
//go:embed wire
var wireFiles embed.FS

// headerNames holds the names of the headers, and of the variable with the path of a
// settings file.
type headerNames struct {
	Request          string `json:"request"`
	Deadline         string `json:"deadline"`
	Target           string `json:"target"`
	Seal             string `json:"seal"`
	NotRun           string `json:"notRun"`
	Instance         string `json:"instance"`
	Leaving          string `json:"leaving"`
	SettingsVariable string `json:"settingsVariable"`
	// KindOnce and KindSafe are the kinds of routes.
	KindOnce string `json:"kindOnce"`
	KindSafe string `json:"kindSafe"`
}

var names = loadNames()

func loadNames() headerNames {
	data, err := wireFiles.ReadFile("wire/names.json")
	if err != nil {
		panic(err)
	}
	var loaded headerNames
	if err := json.Unmarshal(data, &loaded); err != nil {
		panic(err)
	}
	return loaded
}

// renderWire fills in one of the message templates.
func renderWire(name string, data any) []byte {
	tmpl := template.Must(template.ParseFS(wireFiles, "wire/"+name+".json"))
	var out strings.Builder
	if err := tmpl.Execute(&out, data); err != nil {
		panic(fmt.Errorf("render %s: %w", name, err))
	}
	return []byte(out.String())
}

// configData is the content of a config.
type configData struct {
	Version, Base int
	Services      []string
	Hosts         []hostData
}

type hostData struct {
	Name   string
	Routes []routeData
}

type routeData struct {
	Name, Prefix, Kind, Service string
	TimeoutMS, TargetMS         int
}
