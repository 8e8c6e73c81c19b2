// SPDX-License-Identifier: Apache-2.0

// Package config reads and checks the settings of a node on the stand-in platform: one YAML
// file, in which unknown keys and invalid values are errors. The settings of a node on the
// users' platform are in package settings.
//
// # Usage
//
//	cfg, err := config.Load("node.yaml") // errors name file, line and key
package config

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"net/netip"
	"net/url"
	"os"
	"time"

	"switchbank.example/switchbank/internal/api"
	"switchbank.example/switchbank/internal/bundle"
	"switchbank.example/switchbank/internal/shard"
	"switchbank.example/switchbank/internal/yamlx"
)

// Config is a node's settings.
type Config struct {
	// Node is the name of the node; each node of the cell has a different one.
	Node       string `yaml:"node"`
	DataCentre string `yaml:"data_centre"`
	// DataCentres lists all data centres of the cell; every node must have the same list.
	DataCentres []shard.DataCentre `yaml:"data_centres"`
	// JobShards is the number of job shards of the cell; every node must have the same number.
	JobShards int       `yaml:"job_shards"`
	Listen    Addresses `yaml:"listen"`
	// Advertise holds the addresses at which others reach the node, where they
	// differ from the addresses in Listen.
	Advertise Addresses `yaml:"advertise"`
	Platform  Platform  `yaml:"platform"`
	Lease     Lease     `yaml:"lease"`
	Tasks     Tasks     `yaml:"tasks"`
	Requests  Requests  `yaml:"requests"`
	Journal   Journal   `yaml:"journal"`
	Limits    Limits    `yaml:"limits"`
	// Review names the reviewers whose signatures the first bundle needs.
	Review bundle.Review `yaml:"review"`
	// Operators holds the digests of the operators' bearer tokens. Without one,
	// everyone who can reach the operators' listener may use it.
	Operators Operators `yaml:"operators"`
	Log       Log       `yaml:"log"`
	// Trace says where spans are written: TraceOff or TraceStderr.
	Trace string `yaml:"trace"`
}

// Addresses are the addresses of a node's three listeners, each IP:port.
type Addresses struct {
	Callers   string `yaml:"callers"`
	Peers     string `yaml:"peers"`
	Operators string `yaml:"operators"`
}

// Operators says who may use the operators' listener.
type Operators struct {
	// TokenSHA256 holds SHA-256 digests of bearer tokens, in hexadecimal.
	TokenSHA256 []string `yaml:"token_sha256"`
}

// Platform says where the platform is, and how long a call of it may take.
type Platform struct {
	URL     string        `yaml:"url"`
	Timeout time.Duration `yaml:"timeout"`
}

// Lease holds the times of the node's lease; shards are polled at half of RenewInterval.
type Lease struct {
	TTL           time.Duration `yaml:"ttl"`
	Margin        time.Duration `yaml:"margin"`
	RenewInterval time.Duration `yaml:"every"`
}

// Tasks holds the times of tasks on workers, as in pool.Options and jobs.Options.
type Tasks struct {
	Lease          time.Duration `yaml:"lease"`
	Margin         time.Duration `yaml:"margin"`
	Grace          time.Duration `yaml:"grace"`
	Reservation    time.Duration `yaml:"reservation"`
	HostInterval   time.Duration `yaml:"hosts"`
	Quarantine     time.Duration `yaml:"set_aside"`
	RoundInterval  time.Duration `yaml:"every"`
	VerifyInterval time.Duration `yaml:"ask"`
	Retention      time.Duration `yaml:"retention"`
}

// Requests holds the times of requests and of their keys.
type Requests struct {
	KeyWindow      time.Duration `yaml:"key_window"`
	KeyMargin      time.Duration `yaml:"key_margin"`
	KeyAnswerBytes int           `yaml:"key_answer_bytes"`
	// AbandonedTimeout is how long an instance's slot stays in use for a request whose
	// deadline has passed.
	AbandonedTimeout time.Duration `yaml:"linger"`
	// LoadInterval is the time between two exchanges of load summaries with the peers.
	LoadInterval time.Duration `yaml:"load"`
	// DrainDelay is how long a stopping node still accepts requests, so that the load
	// balancer notices first that it is no longer ready.
	DrainDelay   time.Duration `yaml:"drain_delay"`
	DrainTimeout time.Duration `yaml:"drain_timeout"`
}

// Journal holds the settings of the journal's group commit, as in journal.Options.
type Journal struct {
	MinWriteInterval time.Duration `yaml:"spacing"`
	DownAfter        time.Duration `yaml:"down_after"`
	SnapshotEvery    int64         `yaml:"snapshot_every"`
}

// Limits bound the memory and connections that clients can make the node use.
type Limits struct {
	HeaderBytes int `yaml:"header_bytes"`
	Connections int `yaml:"connections"`
	// InFlight is the maximum number of concurrent callers' requests.
	InFlight int `yaml:"in_flight"`
	// Keys and Workloads are the maximum numbers that a job shard stores.
	Keys      int `yaml:"keys"`
	Workloads int `yaml:"workloads"`
	// MemoryMB is the Go runtime's soft memory limit, in megabytes.
	MemoryMB int64 `yaml:"memory_mb"`
}

// Log holds the settings of the log.
type Log struct {
	Level string `yaml:"level"`
}

// The values of Config.Trace.
const (
	TraceOff    = "off"
	TraceStderr = "stderr"
)

// Kind classifies the errors of this package.
type Kind string

// KindInvalid is a settings file that can't be read or has an invalid value.
const KindInvalid Kind = "invalid"

// Error is the error type of this package.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error returns the message of the cause, which names file, line and key.
func (e *Error) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Default returns the settings that apply where a file sets none.
func Default() Config {
	return Config{
		JobShards: 16,
		Platform:  Platform{Timeout: 2 * time.Second},
		Lease:     Lease{TTL: 4 * time.Second, Margin: 500 * time.Millisecond, RenewInterval: time.Second},
		Tasks: Tasks{
			Lease: 15 * time.Second, Margin: time.Second, Grace: 10 * time.Minute, Reservation: 10 * time.Second,
			HostInterval: 3 * time.Second, Quarantine: 30 * time.Second, RoundInterval: 250 * time.Millisecond, VerifyInterval: 2 * time.Second,
			Retention: time.Hour,
		},
		Requests: Requests{
			KeyWindow: 24 * time.Hour, KeyMargin: time.Minute, KeyAnswerBytes: 64 << 10, AbandonedTimeout: 5 * time.Second,
			LoadInterval: time.Second, DrainDelay: 3 * time.Second, DrainTimeout: 30 * time.Second,
		},
		Journal: Journal{MinWriteInterval: 25 * time.Millisecond, DownAfter: time.Second, SnapshotEvery: 256},
		Limits:  Limits{HeaderBytes: 16 << 10, Connections: 4096, InFlight: 4096, Keys: 50_000, Workloads: 20_000, MemoryMB: 256},
		Log:     Log{Level: "info"},
		Trace:   TraceOff,
	}
}

// Load reads and checks a settings file.
func Load(path string) (Config, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Config{}, &Error{"load", KindInvalid, err}
	}
	return Parse(path, data)
}

// Parse reads and checks settings; file is named in errors.
func Parse(file string, data []byte) (Config, error) {
	cfg := Default()
	if err := yamlx.Decode(file, data, &cfg); err != nil {
		return cfg, &Error{"parse", KindInvalid, err}
	}
	if err := cfg.check(file, data); err != nil {
		return cfg, &Error{"check", KindInvalid, err}
	}
	return cfg, nil
}

// rule is a check of one setting, with the error's detail for when it fails.
type rule struct {
	key    string
	ok     bool
	detail string
}

// check returns an error for the first rule that fails.
func (c *Config) check(file string, data []byte) error {
	for _, r := range c.rules() {
		if !r.ok {
			return yamlx.ErrorAt(file, data, "$."+r.key, r.detail)
		}
	}
	return nil
}

func (c *Config) rules() []rule {
	rules := []rule{
		{"node", api.ValidName(c.Node), "want a name of a-z, 0-9, '.' and '-'"},
		{"data_centre", c.dataCentreListed(), "want one of data_centres"},
		{"data_centres", c.validDataCentres(), "want names and worker_shards of 1 to 1000"},
		{"job_shards", c.JobShards >= 1 && c.JobShards <= 1000, "want 1 to 1000"},
		{"platform.url", validURL(c.Platform.URL), "want http://IP:port"},
		{"log.level", c.Log.Level == "debug" || c.Log.Level == "info" || c.Log.Level == "warn" || c.Log.Level == "error", "want debug, info, warn or error"},
		{"trace", c.Trace == TraceOff || c.Trace == TraceStderr, "want off or stderr"},
		{"operators.token_sha256", c.validTokenDigests(), "want 64 hex digits each"},
		{"limits.header_bytes", c.Limits.HeaderBytes >= 1024, "want 1024 bytes or more"},
		{"limits.connections", c.Limits.Connections > 0, "want 1 or more"},
		{"limits.in_flight", c.Limits.InFlight > 0, "want 1 or more"},
		{"limits.keys", c.Limits.Keys > 0, "want 1 or more"},
		{"limits.workloads", c.Limits.Workloads > 0, "want 1 or more"},
		{"limits.memory_mb", c.Limits.MemoryMB >= 16, "want 16 MB or more"},
		{"requests.key_answer_bytes", c.Requests.KeyAnswerBytes >= 0, "want 0 or more"},
		{"journal.snapshot_every", c.Journal.SnapshotEvery > 0, "want 1 or more"},
		{"lease.ttl", c.Lease.TTL > c.Lease.Margin+2*c.Lease.RenewInterval, "want more than margin and two times every"},
		{"tasks.lease", c.Tasks.Lease > 2*c.Lease.TTL, "want more than two times lease.ttl, so that tasks outlive a takeover"},
	}
	rules = append(rules, c.addressRules()...)
	return append(rules, c.durationRules()...)
}

func (c *Config) addressRules() []rule {
	const want = "want IP:port"
	return []rule{
		{"listen.callers", validAddress(c.Listen.Callers), want},
		{"listen.peers", validAddress(c.Listen.Peers), want},
		{"listen.operators", validAddress(c.Listen.Operators), want},
		{"advertise.peers", c.Advertise.Peers == "" || validAddress(c.Advertise.Peers), want},
		{"advertise.operators", c.Advertise.Operators == "" || validAddress(c.Advertise.Operators), want},
	}
}

func (c *Config) durationRules() []rule {
	const want = "want a duration above 0, as 500ms or 3s"
	var rules []rule
	for _, d := range []struct {
		key   string
		value time.Duration
	}{
		{"platform.timeout", c.Platform.Timeout},
		{"lease.ttl", c.Lease.TTL}, {"lease.margin", c.Lease.Margin}, {"lease.every", c.Lease.RenewInterval},
		{"tasks.lease", c.Tasks.Lease}, {"tasks.margin", c.Tasks.Margin}, {"tasks.grace", c.Tasks.Grace},
		{"tasks.reservation", c.Tasks.Reservation}, {"tasks.hosts", c.Tasks.HostInterval}, {"tasks.set_aside", c.Tasks.Quarantine},
		{"tasks.every", c.Tasks.RoundInterval}, {"tasks.ask", c.Tasks.VerifyInterval}, {"tasks.retention", c.Tasks.Retention},
		{"requests.key_window", c.Requests.KeyWindow}, {"requests.key_margin", c.Requests.KeyMargin},
		{"requests.linger", c.Requests.AbandonedTimeout}, {"requests.load", c.Requests.LoadInterval},
		{"requests.drain_delay", c.Requests.DrainDelay}, {"requests.drain_timeout", c.Requests.DrainTimeout},
		{"journal.spacing", c.Journal.MinWriteInterval}, {"journal.down_after", c.Journal.DownAfter},
	} {
		rules = append(rules, rule{d.key, d.value > 0, want})
	}
	return rules
}

func (c *Config) dataCentreListed() bool {
	for _, dc := range c.DataCentres {
		if dc.Name == c.DataCentre {
			return true
		}
	}
	return false
}

func (c *Config) validDataCentres() bool {
	for _, dc := range c.DataCentres {
		if !api.ValidName(dc.Name) || dc.WorkerShards < 1 || dc.WorkerShards > 1000 {
			return false
		}
	}
	return len(c.DataCentres) > 0
}

func (c *Config) validTokenDigests() bool {
	for _, d := range c.Operators.TokenSHA256 {
		if raw, err := hex.DecodeString(d); err != nil || len(raw) != sha256.Size {
			return false
		}
	}
	return true
}

func validAddress(s string) bool {
	_, err := netip.ParseAddrPort(s)
	return err == nil
}

func validURL(s string) bool {
	u, err := url.Parse(s)
	if err != nil || u.Scheme != "http" || u.Path != "" {
		return false
	}
	return validAddress(u.Host)
}

// PeerAddress returns the address to advertise to peers: the configured one, or else
// listenAddress.
func (c *Config) PeerAddress(listenAddress string) string {
	return cmp.Or(c.Advertise.Peers, listenAddress)
}

// OperatorAddress returns the address to advertise to operators: the configured one, or else
// listenAddress.
func (c *Config) OperatorAddress(listenAddress string) string {
	return cmp.Or(c.Advertise.Operators, listenAddress)
}
