// SPDX-License-Identifier: Apache-2.0

// Package settings reads the settings of a node that runs on a platform: a YAML file
// in which unknown fields are errors. Settings are validated before the node starts, and
// an error names the field at fault.
//
// # Usage
//
//	cfg, err := settings.Load("/etc/switchbank/node.yaml")
package settings

import (
	"fmt"
	"net"
	"os"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"switchbank.example/switchbank/internal/yamlx"
)

// Settings are the settings of one node.
type Settings struct {
	Node       string `yaml:"node"`
	DataCentre string `yaml:"data_centre"`
	Listen     Listen `yaml:"listen"`
	// Seeds are addresses of peers, through which the node finds the others. They may be
	// out of date.
	Seeds []string `yaml:"seeds"`
	// Store, Advice and Machines are the addresses of the platform's services. Advice
	// and Machines are optional.
	Store    string `yaml:"store"`
	Advice   string `yaml:"advice"`
	Machines string `yaml:"machines"`
	Limits   Limits `yaml:"limits"`
	Bounds   Bounds `yaml:"bounds"`
	LogLevel string `yaml:"log_level"`
	// WorkerOrders is how the node sends orders to workers. WorkerOrdersInvocation is the
	// only supported value.
	WorkerOrders string `yaml:"worker_orders"`
	// WorkersPerShard is the maximum number of workers of a shard; 0 derives it from the
	// CPU of the hosts. It applies when a service is first divided into shards, and does
	// not change an existing layout.
	WorkersPerShard int       `yaml:"workers_per_shard"`
	Tokens          Tokens    `yaml:"tokens"`
	Admission       Admission `yaml:"admission"`
	// WaitingOrder is the order in which work waits in an overloaded shard: WaitingOrderLateness or
	// WaitingOrderDue.
	WaitingOrder string `yaml:"waiting_order"`
}

// Admission sets which jobs are refused while a shard is overloaded. It concerns only queues that
// declare an objective.
type Admission struct {
	Enabled bool `yaml:"enabled"`
	// AcceptUntil and ExpectUntil bound the time from the caller's first attempt to the
	// optimistic and to the expected end of a job, in multiples of its objective. NewUntil is
	// the bound on the expected end of a job that was not refused before, while refused jobs of
	// its team and priority are expected to return. 0 turns off the last two.
	AcceptUntil float64 `yaml:"accept_until"`
	ExpectUntil float64 `yaml:"expect_until"`
	NewUntil    float64 `yaml:"new_until"`
	// MaxWaitingS bounds the waiting work of one team and priority, in seconds of the capacity of
	// a shard; 0 for no bound.
	MaxWaitingS float64 `yaml:"max_waiting_s"`
}

// Tokens sets how a node that may not know the newest configuration treats callers' tokens.
type Tokens struct {
	// Strict makes it refuse all calls that need a token, for now; otherwise it serves the
	// tokens that it knows.
	Strict bool `yaml:"strict"`
	// MaxAgeMS is the time after which a strict node does so, in milliseconds.
	MaxAgeMS int64 `yaml:"max_age_ms"`
}

// MaxAge returns the time after which a strict node refuses calls.
func (t Tokens) MaxAge() time.Duration { return time.Duration(t.MaxAgeMS) * time.Millisecond }

// Listen are the addresses on which a node serves.
type Listen struct {
	Callers string `yaml:"callers"`
	Ready   string `yaml:"ready"`
	Peers   string `yaml:"peers"`
	Metrics string `yaml:"metrics"`
	// AdvertisePeers is the address at which other nodes reach Peers, such as that of a
	// relay; the default is Peers.
	AdvertisePeers string `yaml:"peers_at"`
}

// Limits are the resources that the node may use.
type Limits struct {
	MemoryMB int64 `yaml:"memory_mb"`
	// MaxFiles is the number of descriptors that the process may have open; 0 means what the
	// system allows.
	MaxFiles int `yaml:"max_files"`
	// CPUShare is the number of cores that the process may use, and CoreSpeed the speed
	// of such a core relative to a reference core. Both are 1 by default.
	CPUShare  float64 `yaml:"cpu_share"`
	CoreSpeed float64 `yaml:"core_speed"`
	// LinkMbps is the bandwidth of the host's link in each direction, in Mbit/s; 0 means
	// unknown.
	LinkMbps float64 `yaml:"link_mbps"`
}

// CPUMilli returns the CPU that the node may use, in thousandths of a reference core.
func (l Limits) CPUMilli() int64 { return int64(l.CPUShare * l.CoreSpeed * 1000) }

// MemoryBytes returns the memory that the node may use, in bytes.
func (l Limits) MemoryBytes() int64 {
	if l.MemoryMB == 0 {
		return defaultMemoryMB << 20
	}
	return l.MemoryMB << 20
}

// Bounds are the platform's time limits, in milliseconds.
type Bounds struct {
	// MaxLeaseMS is the longest lease that workers grant.
	MaxLeaseMS int64 `yaml:"lease_most_ms"`
	// StopMS is how long a worker may take to stop a run.
	StopMS int64 `yaml:"stop_ms"`
	// GraceMS is the time between SIGTERM and SIGKILL.
	GraceMS int64 `yaml:"grace_ms"`
	// FinishedRetentionMS is how long callers may ask for the state of a finished job.
	FinishedRetentionMS int64 `yaml:"keep_state_ms"`
}

// Kind classifies the errors of this package.
type Kind string

// The kinds of error.
const (
	KindRead    Kind = "read"
	KindInvalid Kind = "invalid"
)

// Error is the error type of this package.
type Error struct {
	Op    string
	Kind  Kind
	Field string
	Err   error
}

// Error returns the operation, kind, field and cause.
func (e *Error) Error() string {
	return fmt.Sprintf("settings: %s: %s: %s: %v", e.Op, e.Kind, e.Field, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// WorkerOrdersInvocation is the value of Settings.WorkerOrders with which each order is
// a call of the worker.
const WorkerOrdersInvocation = "invocation"

// The values of Settings.WaitingOrder.
const (
	// WaitingOrderLateness puts jobs that will be late and have not begun behind the others.
	WaitingOrderLateness = "lateness"
	// WaitingOrderDue goes by due time alone.
	WaitingOrderDue = "due"
)

// The defaults of settings that are not given.
const (
	defaultMaxLease          = 10 * time.Second
	defaultStopTime          = time.Second
	defaultGrace             = 6 * time.Second
	defaultFinishedRetention = 120 * time.Second
	defaultMemoryMB          = 128
	defaultMaxTokenAge       = 5 * time.Second
)

// DefaultAdmission returns the settings of admission control that apply where none are given.
func DefaultAdmission() Admission {
	return Admission{Enabled: true, AcceptUntil: 3}
}

// OwnerMilliCPUPerWorker is the CPU that the owner of a shard uses for each busy worker
// while other nodes make the calls, in thousandths of a core: 0.17 core for 280 workers
// with 310 starts a second, averaged over a day.
const OwnerMilliCPUPerWorker = 0.6

// MaxWorkersPerShard is how many workers fit into the row that lists them for the next
// owner of the shard: it holds 64 KB, and a worker takes about 40 bytes.
const MaxWorkersPerShard = 1500

// Load reads and validates a settings file.
func Load(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, &Error{"load", KindRead, path, err}
	}
	return Parse(path, data)
}

// Parse reads and validates settings; errors name them by file.
func Parse(file string, data []byte) (Settings, error) {
	s := Settings{Admission: DefaultAdmission()}
	if err := yamlx.Decode(file, data, &s); err != nil {
		return Settings{}, &Error{"parse", KindInvalid, "settings", err}
	}
	s.setDefaults()
	return s, s.validate()
}

func (s *Settings) setDefaults() {
	setDefault(&s.Bounds.MaxLeaseMS, defaultMaxLease.Milliseconds())
	setDefault(&s.Bounds.StopMS, defaultStopTime.Milliseconds())
	setDefault(&s.Bounds.GraceMS, defaultGrace.Milliseconds())
	setDefault(&s.Bounds.FinishedRetentionMS, defaultFinishedRetention.Milliseconds())
	setDefault(&s.Tokens.MaxAgeMS, defaultMaxTokenAge.Milliseconds())
	setDefault(&s.Limits.MemoryMB, int64(defaultMemoryMB))
	setDefault(&s.Limits.CPUShare, 1.0)
	setDefault(&s.Limits.CoreSpeed, 1.0)
	setDefault(&s.Listen.AdvertisePeers, s.Listen.Peers)
	setDefault(&s.LogLevel, "info")
	setDefault(&s.WorkerOrders, WorkerOrdersInvocation)
	setDefault(&s.WaitingOrder, WaitingOrderLateness)
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

func (s *Settings) validate() error {
	if s.Node == "" {
		return newInvalid("node", "must be given")
	}
	for _, a := range []struct{ field, address string }{
		{"listen.callers", s.Listen.Callers}, {"listen.ready", s.Listen.Ready}, {"listen.peers", s.Listen.Peers},
		{"listen.peers_at", s.Listen.AdvertisePeers}, {"store", s.Store},
	} {
		if _, _, err := net.SplitHostPort(a.address); err != nil {
			return newInvalid(a.field, "wants IP:port: "+err.Error())
		}
	}
	for _, b := range []struct {
		field string
		value int64
	}{
		{"bounds.lease_most_ms", s.Bounds.MaxLeaseMS}, {"bounds.stop_ms", s.Bounds.StopMS}, {"bounds.grace_ms", s.Bounds.GraceMS},
		{"bounds.keep_state_ms", s.Bounds.FinishedRetentionMS}, {"tokens.max_age_ms", s.Tokens.MaxAgeMS}, {"limits.memory_mb", s.Limits.MemoryMB},
	} {
		if b.value <= 0 {
			return newInvalid(b.field, "must be above 0")
		}
	}
	if s.WorkerOrders != WorkerOrdersInvocation {
		// The node would accept jobs whose tasks it could not start.
		return newInvalid("worker_orders", "only "+WorkerOrdersInvocation+" is built, not "+s.WorkerOrders)
	}
	if s.WaitingOrder != WaitingOrderLateness && s.WaitingOrder != WaitingOrderDue {
		return newInvalid("waiting_order", "must be "+WaitingOrderLateness+" or "+WaitingOrderDue)
	}
	if s.Limits.CPUShare < 0 {
		return newInvalid("limits.cpu_share", "must be above 0")
	}
	if s.Limits.LinkMbps < 0 {
		return newInvalid("limits.link_mbps", "must not be below 0")
	}
	if s.Limits.MaxFiles < 0 {
		return newInvalid("limits.max_files", "must not be below 0")
	}
	if s.Limits.CoreSpeed < 0 {
		return newInvalid("limits.core_speed", "must be above 0")
	}
	if s.WorkersPerShard < 0 || s.WorkersPerShard > MaxWorkersPerShard {
		return newInvalid("workers_per_shard", "must be from 0 to "+strconv.Itoa(MaxWorkersPerShard))
	}
	if required := OwnerMilliCPUPerWorker * float64(s.WorkersPerShard); required > float64(s.Limits.CPUMilli()) {
		return newInvalid("workers_per_shard", fmt.Sprintf("the owner of a shard uses up to %.0f thousandths of a core, more than limits.cpu_share gives", required))
	}
	return s.Admission.validate()
}

const (
	// maxObjectives is the greatest bound in multiples of a job's objective, and minObjectives
	// the least one that is not 0: with a lower one, nearly all jobs that wait would be refused.
	maxObjectives, minObjectives = 10.0, 0.5
	// maxWaitingS is the greatest budget of waiting work.
	maxWaitingS = 3600.0
)

func (a *Admission) validate() error {
	for _, b := range []struct {
		field            string
		value, low, high float64
		optional         bool
	}{
		{"admission.accept_until", a.AcceptUntil, 1, maxObjectives, false},
		{"admission.expect_until", a.ExpectUntil, minObjectives, maxObjectives, true},
		{"admission.new_until", a.NewUntil, minObjectives, maxObjectives, true},
		{"admission.max_waiting_s", a.MaxWaitingS, 0, maxWaitingS, true},
	} {
		// A value that is not a number fails all comparisons.
		if inRange := b.value >= b.low && b.value <= b.high; !inRange && (!b.optional || b.value != 0) {
			return newInvalid(b.field, fmt.Sprintf("must be from %g to %g%s", b.low, b.high, orZero(b.optional && b.low > 0)))
		}
	}
	return nil
}

// orZero returns the end of the text that names a range which 0 extends.
func orZero(allowed bool) string {
	if allowed {
		return ", or 0 for no bound"
	}
	return ""
}

func newInvalid(field, text string) *Error {
	return &Error{Op: "check", Kind: KindInvalid, Field: field, Err: errors.New(text)}
}
