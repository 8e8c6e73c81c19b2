// SPDX-License-Identifier: Apache-2.0

// Command _standin2 runs the scripted cases of the second review: the project's own node as seven
// processes with the command of the deploy file, and stand-ins of the platform, its workers and
// its clients in this process, all on loopback.
//
// Usage: stand CASE RECORD, from the root of the repository. TROUBLE=0 leaves the disruption out.
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run. The cases
// schedule, memory, long, cancel, quota, reserve, public, waiting, label and silent
// have no folder of their own; the report tells of them.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	exitHeld      = 0
	exitBroken    = 1
	exitCannotRun = 2
	// maxRunTime bounds a case.
	maxRunTime = 115 * time.Second
	program    = "target/switchbank"
)

// started is the deployment, for the case that it has to be ended early.
var started atomic.Pointer[deployment]

// verdict is the outcome of a case: whether the rule was broken, and how that shows.
type verdict struct {
	broken bool
	text   string
}

var cases = map[string]func(rec *record, trouble bool) (verdict, error){
	"steps":    runSteps,
	"takeover": runTakeover,
	"schedule": runSchedule,
	"memory":   runMemory,
	"service":  runService,
	"waiting":  runWaiting,
	"label":    runLabel,
	"cancel":   runCancel,
	"silent":   runSilent,
	"long":     runLong,
	"move":     runMove,
	"reserve":  runReserve,
	"public":   runPublic,
	"quota":    runQuota,
	"loop":     runLoop,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand CASE RECORD")
		os.Exit(exitCannotRun)
	}
	rec, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitCannotRun)
	}
	trouble := os.Getenv("TROUBLE") != "0"
	rec.line("case %s, trouble: %v", os.Args[1], trouble)
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	type result struct {
		v   verdict
		err error
	}
	done := make(chan result, 1)
	go func() {
		v, err := cases[os.Args[1]](rec, trouble)
		done <- result{v, err}
	}()
	select {
	case r := <-done:
		if r.err != nil {
			rec.line("the case couldn't run: %v", r.err)
			fmt.Println("couldn't run:", r.err)
			os.Exit(exitCannotRun)
		}
		rec.line("broken: %v: %s", r.v.broken, r.v.text)
		fmt.Printf("broken: %v: %s\n", r.v.broken, r.v.text)
		if r.v.broken {
			os.Exit(exitBroken)
		}
		os.Exit(exitHeld)
	case <-stop:
	case <-time.After(maxRunTime):
		rec.line("the case took too long")
	}
	if d := started.Load(); d != nil {
		d.close()
	}
	os.Exit(exitCannotRun)
}
