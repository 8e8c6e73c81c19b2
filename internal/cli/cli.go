// SPDX-License-Identifier: Apache-2.0

// Package cli implements the switchbank command line: it runs a node, or stand-ins for the
// platform and workers to try switchbank out.
//
// # Usage
//
//	switchbank node --settings node.yaml
//	switchbank serve --config node.yaml
//	switchbank check-config node.yaml
//	switchbank dev
//	switchbank version
package cli

import (
	"context"
	"fmt"
	"io"
	"net"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/alecthomas/kong"
	"github.com/pkg/errors"

	"switchbank.example/switchbank/internal/config"
	"switchbank.example/switchbank/internal/node"
	"switchbank.example/switchbank/internal/settings"
	"switchbank.example/switchbank/internal/telemetry"
	"switchbank.example/switchbank/internal/version"
)

// The exit codes of switchbank.
const (
	ExitOK     = 0
	ExitFailed = 1
	ExitUsage  = 2
)

// Env holds the output of a command.
type Env struct {
	Out io.Writer
	Err io.Writer
}

type commands struct {
	Node        nodeCmd        `cmd:"" help:"Run a node on the users' platform."`
	Serve       serveCmd       `cmd:"" help:"Run a node on the stand-in platform."`
	CheckConfig checkConfigCmd `cmd:"" help:"Check a settings file and say where it is wrong."`
	Dev         devCmd         `cmd:"" help:"Run stand-ins for trying switchbank out: a whole cell, or one part of it."`
	Version     versionCmd     `cmd:"" help:"Print the version."`
}

// Main runs the command line and returns the exit code.
func Main(args []string, out, errOut io.Writer) int {
	var cmds commands
	code := -1
	p, err := kong.New(&cmds, kong.Name("switchbank"), kong.Description("A node of the switchbank cluster scheduler."),
		kong.Writers(out, errOut), kong.Exit(func(c int) { code = c }), kong.UsageOnError())
	if err != nil {
		_, _ = fmt.Fprintln(errOut, err)
		return ExitFailed
	}
	ctx, err := p.Parse(args)
	if code >= 0 {
		return code
	}
	if err != nil {
		_, _ = fmt.Fprintln(errOut, "switchbank:", err)
		return ExitUsage
	}
	if err := ctx.Run(&Env{Out: out, Err: errOut}); err != nil {
		_, _ = fmt.Fprintln(errOut, "switchbank:", err)
		return exitCode(err)
	}
	return ExitOK
}

// exitCode returns the exit code for an error.
func exitCode(err error) int {
	var ce *config.Error
	if errors.As(err, &ce) {
		return ExitUsage
	}
	var se *settings.Error
	if errors.As(err, &se) {
		return ExitUsage
	}
	return ExitFailed
}

type versionCmd struct{}

// Run prints the version.
func (versionCmd) Run(env *Env) error {
	_, err := fmt.Fprintln(env.Out, "switchbank", version.String())
	return err
}

type checkConfigCmd struct {
	File string `arg:"" help:"The settings file."`
}

// Run checks a settings file.
func (c checkConfigCmd) Run(env *Env) error {
	if _, err := config.Load(c.File); err != nil {
		return err
	}
	_, err := fmt.Fprintln(env.Out, c.File+": good")
	return err
}

type serveCmd struct {
	Config   string `required:"" env:"SWITCHBANK_CONFIG" help:"The settings file." placeholder:"FILE"`
	Node     string `env:"SWITCHBANK_NODE" help:"Overrides the node's name."`
	LogLevel string `env:"SWITCHBANK_LOG_LEVEL" help:"Overrides the log level."`
}

// Run runs a node until SIGTERM or SIGINT, and then drains and stops it.
func (c serveCmd) Run(env *Env) error {
	cfg, err := config.Load(c.Config)
	if err != nil {
		return err
	}
	if c.Node != "" {
		cfg.Node = c.Node
	}
	if c.LogLevel != "" {
		cfg.Log.Level = c.LogLevel
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	debug.SetMemoryLimit(cfg.Limits.MemoryMB << 20)
	return serve(ctx, cfg, env)
}

// serve runs a node until ctx ends.
func serve(ctx context.Context, cfg config.Config, env *Env) error {
	log, err := telemetry.NewLogger(cfg.Log.Level, env.Err)
	if err != nil {
		return err
	}
	var traceWriter io.Writer
	if cfg.Trace == config.TraceStderr {
		traceWriter = env.Err
	}
	flush, err := telemetry.StartTracing(traceWriter)
	if err != nil {
		return err
	}
	defer func() { _ = flush(context.WithoutCancel(ctx)) }()
	deps := node.Deps{Log: log}
	var lc net.ListenConfig
	for _, l := range []struct {
		address  string
		listener *net.Listener
	}{
		{cfg.Listen.Callers, &deps.Callers}, {cfg.Listen.Peers, &deps.Peers}, {cfg.Listen.Operators, &deps.Operators},
	} {
		if *l.listener, err = lc.Listen(ctx, "tcp", l.address); err != nil {
			return err
		}
	}
	return node.New(cfg, deps).Run(ctx)
}
