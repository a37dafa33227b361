package main

import (
	_ "embed"
	"encoding/json"
	"maps"
)

//go:embed wire.json
var wireData []byte

// wire holds the platform's names, which CI keeps out of Go code.
var wire = loadWire()

type wireNames struct {
	DeadlineHeader   string `json:"deadlineHeader"`
	StampHeader      string `json:"stampHeader"`
	LeavingHeader    string `json:"leavingHeader"`
	InstanceHeader   string `json:"instanceHeader"`
	NotRunHeader     string `json:"notRunHeader"`
	SettingsVariable string `json:"settingsVariable"`
	ResolvePath      string `json:"resolvePath"`
	ReadyPath        string `json:"readyPath"`
	ObjectsPath      string `json:"objectsPath"`
	WarmUpField      string `json:"warmUpField"`
	// SingleRoute is a route to one searcher, SearchRoute one to all shards. Both lack what
	// a case sets.
	SingleRoute map[string]any `json:"singleRoute"`
	SearchRoute map[string]any `json:"searchRoute"`
}

func loadWire() wireNames {
	var w wireNames
	if err := json.Unmarshal(wireData, &w); err != nil {
		panic(err)
	}
	return w
}

// route returns a route with the given fields added to it.
func route(base, fields map[string]any) map[string]any {
	r := maps.Clone(base)
	maps.Copy(r, fields)
	return r
}
