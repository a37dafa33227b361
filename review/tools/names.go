package main

import (
	_ "embed" // for wire.json
	"encoding/json"
	"time"
)

//go:embed wire.json
var wireFile []byte

// wire holds the names of the platform that the stand-ins use.
var wire = func() (names struct {
	Deadline, Instance, Stamp, NotRun              string // headers
	SettingsFile                                   string // variable of the environment
	ObjectsPath, ReadyPath                         string
	Prefix, TargetLatency, MaxAttempts, WarmUpLeft string // fields
},
) {
	if err := json.Unmarshal(wireFile, &names); err != nil {
		panic(err) // the file is part of the program
	}
	return names
}()

// Kinds of routes.
const (
	kindSafe   = "safe"
	kindUnsafe = "unsafe"
)

// route is a route of the manifest.
type route map[string]any

// newRoute returns a route of one service, whose requests run at most at two searchers.
func newRoute(name, kind, service string, timeout, target time.Duration) route {
	return route{
		"name": name, "host": hostName, wire.Prefix: "/" + name + "/", "kind": kind, "service": service,
		"timeout-ms": timeout.Milliseconds(), wire.TargetLatency: target.Milliseconds(), wire.MaxAttempts: 2, "priority": 1,
	}
}

// newServices returns the services of the manifest.
func newServices(names ...string) []map[string]any {
	var list []map[string]any
	for _, n := range names {
		list = append(list, map[string]any{"name": n, "health-path": "/health", "max-connections": 96})
	}
	return list
}
