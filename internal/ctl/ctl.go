// SPDX-License-Identifier: Apache-2.0

// Package ctl is the operators' command line.
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

// The exit codes.
const (
	ExitOK = 0
	// ExitFailed is a call that failed, or whose end is not known.
	ExitFailed = 1
	// ExitUsage is a command line or a file that is wrong.
	ExitUsage = 2
	// ExitRefused is a call that the node refused.
	ExitRefused = 3
	// ExitConflict is a change that lost against another.
	ExitConflict = 4
)

// Env is what a command works with.
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

// exitCode returns the stable exit code of an error.
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

// print writes v as JSON, or as text by fn.
func (e *Env) print(v any, fn func(w io.Writer)) error {
	if e.cmd.Output == "json" {
		enc := json.NewEncoder(e.Out)
		enc.SetIndent("", "  ")
		return enc.Encode(v)
	}
	fn(e.Out)
	return nil
}

func say(w io.Writer, format string, args ...any) { _, _ = fmt.Fprintf(w, format+"\n", args...) }

type versionCmd struct{}

// Run prints the version.
func (versionCmd) Run(env *Env) error {
	say(env.Out, "switchbankctl %s", version.String())
	return nil
}

type statusCmd struct{}

// Run tells how a node and the cell are.
func (statusCmd) Run(env *Env) error {
	st, err := env.client().Status(env.ctx)
	if err != nil {
		return err
	}
	return env.print(st, func(w io.Writer) {
		say(w, "node %s in %s: ready %t %s", st.Node, st.DataCentre, st.Ready, st.NotReady)
		say(w, "lease held %t, store down %t", st.LeaseHeld, st.StoreDown)
		say(w, "shards: %d job, %d worker; %d of the cell without owner", st.JobShards, st.WorkerShards, st.Unowned)
		say(w, "bundle version %d", st.Bundle.Version)
		for _, n := range st.Nodes {
			say(w, "  live node %s: bundle %d, draining %t", n.Node, n.InForce, n.Draining)
		}
	})
}

type drainCmd struct{}

// Run begins a planned stop.
func (drainCmd) Run(env *Env) error {
	reply, err := env.client().Drain(env.ctx)
	if err != nil {
		return err
	}
	return env.print(reply, func(w io.Writer) { say(w, "node %s drains and will stop", reply.Node) })
}

type submitCmd struct {
	File string `arg:"" help:"A workload as JSON; - for standard input."`
	Wait bool   `help:"Wait for the workload's end, or for all tasks of a service to run."`
}

// Run declares a workload.
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
		st, err = cl.Wait(env.ctx, w.ID, settled)
	}
	if err != nil {
		return err
	}
	return env.printStatus(st)
}

// settled reports whether a workload has ended, or is a service that runs whole.
func settled(s api.Status) bool {
	return s.State.Final() || s.Workload.Kind == api.KindService && s.Counts.Running == s.Workload.Tasks
}

func readFile(name string, in io.Reader) ([]byte, error) {
	if name == "-" {
		return io.ReadAll(in)
	}
	return os.ReadFile(name)
}

func (e *Env) printStatus(st api.Status) error {
	return e.print(st, func(w io.Writer) {
		c := st.Counts
		say(w, "%s (%s, team %s): %s %s", st.Workload.ID, st.Workload.Kind, st.Workload.Team, st.State, st.Reason)
		say(w, "tasks: %d waiting, %d placed, %d running, %d done, %d failed, %d unknown, %d cancelled",
			c.Waiting, c.Placed, c.Running, c.Done, c.Failed, c.Unknown, c.Cancelled)
		if st.WaitReason != "" {
			say(w, "waits: %s", st.WaitReason)
		}
		for _, t := range st.Tasks {
			say(w, "  task %d attempt %d: %s %s %s", t.Task, t.Attempt, t.State, t.Worker, t.Reason)
		}
	})
}

type getCmd struct {
	ID    string `arg:"" name:"id" help:"The workload."`
	Tasks bool   `help:"Tell of each task."`
}

// Run tells how a workload is.
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
			say(w, "%-32s %-12s %-10s %d tasks", st.Workload.ID, st.Workload.Kind, st.State, st.Workload.Tasks)
		}
		if list.Partial {
			say(w, "some nodes did not answer: the list is not whole")
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

// Run tells why tasks run where they run, or wait, in the words of the log and the API.
func (c explainCmd) Run(env *Env) error {
	id, number, one := strings.Cut(c.ID, "/")
	task := -1
	if one {
		n, err := strconv.Atoi(number)
		if err != nil {
			return httpx.FieldProblem("id", "want JOB or JOB/TASK, with a number for the task")
		}
		task = n
	}
	st, err := env.client().Get(env.ctx, id, 0, true)
	if err != nil {
		return err
	}
	if one && (task < 0 || task >= len(st.Tasks)) {
		return httpx.FieldProblem("id", fmt.Sprintf("the workload has tasks 0 to %d", len(st.Tasks)-1))
	}
	return env.print(st, func(w io.Writer) { explain(w, st, task) })
}

// explain writes what is known of a workload; task is one of its tasks, or -1 for all.
func explain(w io.Writer, st api.Status, task int) {
	say(w, "%s is %s, class %s, team %s. %s", st.Workload.ID, st.State, st.Workload.Class, st.Workload.Team, st.Reason)
	for _, t := range st.Tasks {
		if task >= 0 && t.Task != task {
			continue
		}
		switch {
		case t.State.Active():
			say(w, "task %d: attempt %d is %s on %s", t.Task, t.Attempt, t.State, t.Worker)
		case t.State == api.TaskWaiting && t.Reason != "":
			say(w, "task %d: waits after attempt %d: %s", t.Task, t.Attempt, t.Reason)
		default:
			say(w, "task %d: %s %s", t.Task, t.State, t.Reason)
		}
	}
	if st.WaitReason == "" {
		return
	}
	say(w, "tasks wait: %s", st.WaitReason)
	if len(st.JobsAhead) > 0 {
		say(w, "these go first: %s", strings.Join(st.JobsAhead, ", "))
	}
	say(w, "they start once a worker has %d thousandths of a core, %d MB and %d accelerators free for each",
		st.Workload.Size.CPUMilli, st.Workload.Size.MemoryMB, st.Workload.Size.Accelerators)
}
