// SPDX-License-Identifier: Apache-2.0

package cli

import (
	"context"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"go.uber.org/zap"

	"switchbank.example/switchbank/internal/cell"
	"switchbank.example/switchbank/internal/conns"
	"switchbank.example/switchbank/internal/events"
	"switchbank.example/switchbank/internal/settings"
	"switchbank.example/switchbank/internal/telemetry"
	"switchbank.example/switchbank/platform"
)

type nodeCmd struct {
	Settings string `required:"" env:"SWITCHBANK_SETTINGS" help:"The settings file." placeholder:"FILE"`
	MaxFiles int    `help:"Overrides limits.max_files if it is above 0." placeholder:"N"`
	Check    bool   `help:"Check the settings file and end."`
}

const (
	// memoryShare is the share of the memory limit that is given to the Go runtime; the
	// rest is for memory that it doesn't count, such as received bytes not yet read.
	memoryShare = 0.8
	// gcPercent is above the default of 100: nodes have memory to spare, and fewer
	// collections cost less processor time.
	gcPercent = 200
)

// Run runs a node on a platform until SIGTERM or SIGINT; SIGHUP reloads the settings.
func (c nodeCmd) Run(env *Env) error {
	cfg, err := settings.Load(c.Settings)
	if err != nil || c.Check {
		return err
	}
	if c.MaxFiles > 0 {
		cfg.Limits.MaxFiles = c.MaxFiles
	}
	out := telemetry.NewAsyncWriter(env.Out)
	defer out.Close()
	log, level, err := telemetry.NewLeveledLogger(cfg.LogLevel, out)
	if err != nil {
		return err
	}
	debug.SetMemoryLimit(int64(memoryShare * float64(cfg.Limits.MemoryMB<<20)))
	debug.SetGCPercent(gcPercent)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	go c.reload(ctx, hup, level, log)
	usage := &conns.Usage{}
	network := conns.Network{Dial: platform.DialTCP, Log: log, Usage: usage}
	return cell.New(cfg, cell.Deps{
		Store: platform.NewStore(cfg.Store, network), Workers: platform.NewWorkers(network), Advice: platform.NewAdvice(cfg.Advice, network),
		Machines: platform.NewMachines(cfg.Machines, network), Directory: platform.Directory{}, Configs: platform.NewConfigs(log),
		Callers: platform.NewCallerHandler, Usage: usage, Log: log,
	}).Run(ctx)
}

// reload reads and checks the settings again at each signal. The log level changes at
// once; all other settings take effect at the next start.
func (c nodeCmd) reload(ctx context.Context, hup <-chan os.Signal, level zap.AtomicLevel, log *zap.Logger) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-hup:
		}
		cfg, err := settings.Load(c.Settings)
		if err == nil {
			err = level.UnmarshalText([]byte(cfg.LogLevel))
		}
		log.Info("settings read again", events.SettingsRead, zap.Error(err))
	}
}
