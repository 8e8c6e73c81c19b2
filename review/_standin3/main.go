// SPDX-License-Identifier: Apache-2.0

// Command stand plays one case of the review: the platform, its workers and the clients in this
// process, and the nodes as processes of their own. Usage: stand CASE RECORD
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// maxTime is when a case is given up.
const maxTime = 115 * time.Second

// The exit codes of a case.
const (
	held    = 0
	broken  = 1
	cantRun = 2
)

var cases = map[string]func(trouble bool, record string) int{}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand CASE RECORD")
		os.Exit(cantRun)
	}
	go endInTime()
	os.Exit(cases[os.Args[1]](os.Getenv("TROUBLE") != "0", os.Args[2]))
}

// running is the cell whose processes have to end with this one.
var running *cell

// endInTime ends all processes after maxTime, or when this one is to end.
func endInTime() {
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	select {
	case <-stop:
	case <-time.After(maxTime):
	}
	if running != nil {
		running.stopAll()
	}
	os.Exit(cantRun)
}
