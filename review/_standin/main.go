// SPDX-License-Identifier: Apache-2.0

// Command standin runs one case of the review: it starts nodes of the project as separate
// processes, with stand-ins of the platform and the workers in its own process, brings about a
// disruption, and checks one rule by what the workers and the callers have seen.
//
// # Usage
//
//	standin CASE RECORD
//
// CASE is the name of a case and RECORD the file to write to. The exit code is 0 if the rule held,
// 1 if it was broken and 2 if the case could not run. With TROUBLE=0 in the environment, everything
// is done but the disruption.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"
)

// The exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// maxDuration bounds a run as a whole.
const maxDuration = 110 * time.Second

// cases are the functions that run a case. They return the descriptions of the violations.
var cases = map[string]func(c *cell) []string{
	"outage":    runOutage,
	"partition": runPartition,
}

func main() { os.Exit(run()) }

func run() (code int) {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE RECORD")
		return exitNotRun
	}
	rec, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer rec.close()
	c := newCell(rec, os.Getenv("TROUBLE") != "0")
	defer c.close()
	defer func() {
		switch v := recover().(type) {
		case nil:
		case notRun:
			rec.printf("the case could not run: %s", string(v))
			code = exitNotRun
		default:
			rec.printf("the case could not run: %v\n%s", v, debug.Stack())
			code = exitNotRun
		}
	}()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	timeout := time.After(maxDuration)
	done := make(chan []string, 1)
	failed := make(chan any, 1)
	go func() {
		defer func() {
			if v := recover(); v != nil {
				failed <- v
			}
		}()
		done <- cases[os.Args[1]](c)
	}()
	select {
	case violations := <-done:
		for _, v := range violations {
			rec.printf("BROKEN: %s", v)
		}
		if len(violations) > 0 {
			return exitBroken
		}
		rec.printf("the rule held")
		return exitHeld
	case v := <-failed:
		panic(v)
	case <-stop:
		panic(notRun("a signal ended it"))
	case <-timeout:
		panic(notRun("it took too long"))
	}
}

// notRun is the reason why a case could not run.
type notRun string
