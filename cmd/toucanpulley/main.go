// Command toucanpulley runs and operates the query tier.
//
// # Usage
//
//	toucanpulley dev -query craft=pottery
//	toucanpulley entry -settings host.json
//	toucanpulley help
//
// Exit statuses: 0 success, 1 failed, 2 usage or invalid settings, 3 outcome
// unknown.
package main

import (
	"os"

	"toucanpulley.example/internal/cmds"
)

func main() { os.Exit(cmds.Run(os.Args[1:], os.Stdout, os.Stderr)) }
