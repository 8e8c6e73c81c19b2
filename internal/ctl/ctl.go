// SPDX-License-Identifier: Apache-2.0

// Package ctl implements switchbankctl, the command line tool of operators and callers.
// Exit codes are stable, so that scripts can tell why a command failed.
//
// # Usage
//
//	switchbankctl --operators 127.0.0.1:8082 status
//	switchbankctl --callers 127.0.0.1:8080 --team inkasoft submit job.json
//	switchbankctl bundle check policy/
package ctl

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/alecthomas/kong"
	"github.com/pkg/errors"

	"switchbank.example/switchbank/internal/api"
	"switchbank.example/switchbank/internal/bundle"
	"switchbank.example/switchbank/internal/client"
	"switchbank.example/switchbank/internal/httpx"
	"switchbank.example/switchbank/internal/version"
	"switchbank.example/switchbank/internal/yamlx"
)

// The exit codes of switchbankctl.
const (
	ExitOK = 0
	// ExitFailed is a call that failed, or whose result is not known.
	ExitFailed = 1
	// ExitUsage is an invalid command line or input file.
	ExitUsage = 2
	// ExitRefused is a call that the node rejected.
	ExitRefused = 3
	// ExitConflict is a change that conflicts with another one, which came first.
	ExitConflict = 4
)

// Env holds the input and output of a command and its global flags.
type Env struct {
	In  io.Reader
	Out io.Writer
	Err io.Writer
	ctx context.Context
	cmd *commands
}

type commands struct {
	Operators string        `env:"SWITCHBANK_OPERATORS" default:"127.0.0.1:8082" help:"A node's operators' listener."`
	Callers   string        `env:"SWITCHBANK_CALLERS" default:"127.0.0.1:8080" help:"A node's callers' listener."`
	Team      string        `env:"SWITCHBANK_TEAM" help:"The team to call as."`
	Token     string        `env:"SWITCHBANK_TOKEN" help:"The team's or operator's bearer token."`
	Output    string        `short:"o" enum:"text,json" default:"text" help:"Output: text or json."`
	Timeout   time.Duration `default:"30s" help:"How long a command may take."`

	Status  statusCmd  `cmd:"" help:"Tell how a node and the cell are."`
	Drain   drainCmd   `cmd:"" help:"Begin a planned stop of the node."`
	Submit  submitCmd  `cmd:"" help:"Declare a workload."`
	Get     getCmd     `cmd:"" help:"Tell how a workload is."`
	List    listCmd    `cmd:"" help:"List the team's workloads."`
	Explain explainCmd `cmd:"" help:"Tell why a workload's tasks run where they run, or wait."`
	Cancel  cancelCmd  `cmd:"" help:"Cancel a workload."`
	Bundle  bundleCmd  `cmd:"" help:"Check, sign and roll out bundles."`
	Version versionCmd `cmd:"" help:"Print the version."`
}

// Main runs the command line and returns the exit code.
func Main(args []string, in io.Reader, out, errOut io.Writer) int {
	var cmds commands
	code := -1
	p, err := kong.New(&cmds, kong.Name("switchbankctl"), kong.Description("The operators' tool of switchbank."),
		kong.Writers(out, errOut), kong.Exit(func(c int) { code = c }), kong.UsageOnError())
	if err != nil {
		_, _ = fmt.Fprintln(errOut, err)
		return ExitFailed
	}
	kctx, err := p.Parse(args)
	if code >= 0 {
		return code
	}
	if err != nil {
		_, _ = fmt.Fprintln(errOut, "switchbankctl:", err)
		return ExitUsage
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, cmds.Timeout)
	defer cancel()
	if err := kctx.Run(&Env{In: in, Out: out, Err: errOut, ctx: ctx, cmd: &cmds}); err != nil {
		_, _ = fmt.Fprintln(errOut, "switchbankctl:", err)
		return exitCode(err)
	}
	return ExitOK
}

// exitCode returns the exit code for an error.
func exitCode(err error) int {
	if p, ok := client.ProblemOf(err); ok {
		switch {
		case p.Status == 409:
			return ExitConflict
		case p.Status/100 == 4 || p.Outcome == string(api.OutcomeRefused):
			return ExitRefused
		}
		return ExitFailed
	}
	var be *bundle.Error
	var ye *yamlx.Error
	var he *httpx.Error
	if errors.As(err, &be) || errors.As(err, &ye) || errors.As(err, &he) || errors.Is(err, os.ErrNotExist) {
		return ExitUsage
	}
	return ExitFailed
}

func (e *Env) client() *client.Client {
	c := e.cmd
	return client.New(client.Config{Callers: c.Callers, Operators: c.Operators, Team: c.Team, Token: c.Token})
}

// print writes v as JSON if --output is json, and otherwise calls writeText.
func (e *Env) print(v any, writeText func(w io.Writer)) error {
	if e.cmd.Output == "json" {
		enc := json.NewEncoder(e.Out)
		enc.SetIndent("", "  ")
		return enc.Encode(v)
	}
	writeText(e.Out)
	return nil
}

// writef writes a formatted line.
func writef(w io.Writer, format string, args ...any) { _, _ = fmt.Fprintf(w, format+"\n", args...) }

type versionCmd struct{}

// Run prints the version.
func (versionCmd) Run(env *Env) error {
	writef(env.Out, "switchbankctl %s", version.String())
	return nil
}

type statusCmd struct{}

// Run prints the status of a node and of the cell.
func (statusCmd) Run(env *Env) error {
	st, err := env.client().Status(env.ctx)
	if err != nil {
		return err
	}
	return env.print(st, func(w io.Writer) {
		writef(w, "node %s in %s: ready %t %s", st.Node, st.DataCentre, st.Ready, st.NotReady)
		writef(w, "lease held %t, store down %t", st.LeaseHeld, st.StoreDown)
		writef(w, "shards: %d job, %d worker; %d of the cell without owner", st.JobShards, st.WorkerShards, st.Unowned)
		writef(w, "bundle version %d", st.Bundle.Version)
		for _, n := range st.Nodes {
			writef(w, "  live node %s: bundle %d, draining %t", n.Node, n.InForce, n.Draining)
		}
	})
}

type drainCmd struct{}

// Run starts a planned stop of the node.
func (drainCmd) Run(env *Env) error {
	reply, err := env.client().Drain(env.ctx)
	if err != nil {
		return err
	}
	return env.print(reply, func(w io.Writer) { writef(w, "node %s drains and will stop", reply.Node) })
}

type submitCmd struct {
	File string `arg:"" help:"A workload as JSON; - for standard input."`
	Wait bool   `help:"Wait for the workload's end, or for all tasks of a service to run."`
}

// Run submits a workload.
func (c submitCmd) Run(env *Env) error {
	data, err := readFile(c.File, env.In)
	if err != nil {
		return err
	}
	var w api.Workload
	if err := httpx.Unmarshal(data, &w); err != nil {
		return errors.Wrap(err, c.File)
	}
	if env.cmd.Team == "" {
		env.cmd.Team = w.Team
	}
	cl := env.client()
	st, err := cl.Create(env.ctx, w)
	if err == nil && c.Wait {
		st, err = cl.Wait(env.ctx, w.ID, endedOrAllRunning)
	}
	if err != nil {
		return err
	}
	return env.printStatus(st)
}

// endedOrAllRunning reports whether a workload has ended, or is a service with all its tasks
// running.
func endedOrAllRunning(s api.Status) bool {
	return s.State.Final() || s.Workload.Kind == api.KindService && s.Counts.Running == s.Workload.Tasks
}

// readFile reads a file, or in if the name is "-".
func readFile(name string, in io.Reader) ([]byte, error) {
	if name == "-" {
		return io.ReadAll(in)
	}
	return os.ReadFile(name)
}

func (e *Env) printStatus(st api.Status) error {
	return e.print(st, func(w io.Writer) {
		c := st.Counts
		writef(w, "%s (%s, team %s): %s %s", st.Workload.ID, st.Workload.Kind, st.Workload.Team, st.State, st.Reason)
		writef(w, "tasks: %d waiting, %d placed, %d running, %d done, %d failed, %d unknown, %d cancelled",
			c.Waiting, c.Placed, c.Running, c.Done, c.Failed, c.Unknown, c.Cancelled)
		if st.WaitReason != "" {
			writef(w, "waits: %s", st.WaitReason)
		}
		for _, t := range st.Tasks {
			writef(w, "  task %d attempt %d: %s %s %s", t.Task, t.Attempt, t.State, t.Worker, t.Reason)
		}
	})
}

type getCmd struct {
	ID    string `arg:"" name:"id" help:"The workload."`
	Tasks bool   `help:"Tell of each task."`
}

// Run prints the status of a workload.
func (c getCmd) Run(env *Env) error {
	st, err := env.client().Get(env.ctx, c.ID, 0, c.Tasks)
	if err != nil {
		return err
	}
	return env.printStatus(st)
}

type listCmd struct{}

// Run lists the team's workloads.
func (listCmd) Run(env *Env) error {
	list, err := env.client().List(env.ctx)
	if err != nil {
		return err
	}
	return env.print(list, func(w io.Writer) {
		for _, st := range list.Workloads {
			writef(w, "%-32s %-12s %-10s %d tasks", st.Workload.ID, st.Workload.Kind, st.State, st.Workload.Tasks)
		}
		if list.Partial {
			writef(w, "some nodes did not answer: the list is not whole")
		}
	})
}

type cancelCmd struct {
	ID string `arg:"" name:"id" help:"The workload."`
}

// Run cancels a workload.
func (c cancelCmd) Run(env *Env) error {
	st, err := env.client().Cancel(env.ctx, c.ID)
	if err != nil {
		return err
	}
	return env.printStatus(st)
}

type explainCmd struct {
	ID string `arg:"" name:"id" help:"The workload, or one of its tasks as JOB/TASK."`
}

// Run prints why tasks run where they run, or wait, with the reasons that the API gives.
func (c explainCmd) Run(env *Env) error {
	id, taskArg, hasTask := strings.Cut(c.ID, "/")
	task := -1
	if hasTask {
		n, err := strconv.Atoi(taskArg)
		if err != nil {
			return httpx.FieldProblem("id", "want JOB or JOB/TASK, with a number for the task")
		}
		task = n
	}
	st, err := env.client().Get(env.ctx, id, 0, true)
	if err != nil {
		return err
	}
	if hasTask && (task < 0 || task >= len(st.Tasks)) {
		return httpx.FieldProblem("id", fmt.Sprintf("the workload has tasks 0 to %d", len(st.Tasks)-1))
	}
	return env.print(st, func(w io.Writer) { explain(w, st, task) })
}

// explain writes the state and reasons of one task of a workload, or of all if task is -1.
func explain(w io.Writer, st api.Status, task int) {
	writef(w, "%s is %s, class %s, team %s. %s", st.Workload.ID, st.State, st.Workload.Class, st.Workload.Team, st.Reason)
	for _, t := range st.Tasks {
		if task >= 0 && t.Task != task {
			continue
		}
		switch {
		case t.State.Active():
			writef(w, "task %d: attempt %d is %s on %s", t.Task, t.Attempt, t.State, t.Worker)
		case t.State == api.TaskWaiting && t.Reason != "":
			writef(w, "task %d: waits after attempt %d: %s", t.Task, t.Attempt, t.Reason)
		default:
			writef(w, "task %d: %s %s", t.Task, t.State, t.Reason)
		}
	}
	if st.WaitReason == "" {
		return
	}
	writef(w, "tasks wait: %s", st.WaitReason)
	if len(st.JobsAhead) > 0 {
		writef(w, "these go first: %s", strings.Join(st.JobsAhead, ", "))
	}
	writef(w, "they start once a worker has %d thousandths of a core, %d MB and %d accelerators free for each",
		st.Workload.Size.CPUMilli, st.Workload.Size.MemoryMB, st.Workload.Size.Accelerators)
}
