// SPDX-License-Identifier: Apache-2.0

// Package site is a stand-in for the users' platform, for tests and for running
// the scheduler locally: the table service, workers, the advice service and the
// list of machines, as far as the scheduler uses them. It speaks the platform's
// protocol, can be made to fail as the platform does, and records what happens on
// its workers, so that tests can check it against the scheduler's guarantees.
//
// # Usage
//
//	s := site.New(site.Config{Service: "billing", Serve: serve})
//	w := s.AddWorker(site.WorkerConfig{Rack: "r1-1", CPUMilli: 16000, MemoryMB: 32000})
//	s.Store.SetFaults(site.StoreFaults{Down: true})
//	for _, e := range s.Events() { … } // what happened on the workers
//	for _, text := range s.Violations(site.Expectations{}) { … } // broken guarantees
package site

import (
	"cmp"
	"encoding/json"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"
)

// Serve makes a handler reachable at an address until stop is called.
type Serve func(address string, h http.Handler) (stop func())

// Config describes a site.
type Config struct {
	// Service is the name of the pool of workers.
	Service string
	Serve   Serve
	// StoreAddress, AdviceAddress and MachinesAddress are the addresses of the table service,
	// the advice service and the list of machines.
	StoreAddress, AdviceAddress, MachinesAddress string
	// RejectOneIn makes the advice service reject one in so many workers for a step; 0: one
	// in four.
	RejectOneIn int
	// WorkerAddress returns the address of the n-th worker.
	WorkerAddress func(n int) string
	// CrashedByTask is called after a task has crashed its worker, for example to restart it;
	// nil: it stays down.
	CrashedByTask func(w *Worker)
}

// Site is a stand-in platform.
type Site struct {
	cfg           Config
	Store         *Store
	adviceService *adviceService
	mu            sync.Mutex
	workers       []*Worker
	events        []Event
	// drainedAt is when each worker's announcement that it is draining was stored.
	drainedAt map[string]time.Time
	// evacuations are the operators' orders so far.
	evacuations []evacuation
	// gangs are the runs of gangs, by step and run.
	gangs map[gangKey]*gangRun
	// allIncarnations are the workers that were started, also those that have ended.
	allIncarnations []*Worker
	incarnations    int
	owner           string
	// machineLists is how often the machines have been listed.
	machineLists int
	stops        []func()
}

// Event is something that happened on a worker.
type Event struct {
	At     time.Time
	Worker string
	Task   string
	Run    int64
	// Kind is one of the constants below.
	Kind  string
	Fence int64
	// CPUMilli is what a run that starts takes according to its Spec.
	CPUMilli int64
	// DataCentre is that of the worker on which a run starts.
	DataCentre string
	// Failed is set for the end of a run that failed by itself or because of its worker.
	Failed bool
}

// The kinds of event. EventSuccess is the end of a run that succeeded, EventGangTimeout the
// end of a gang member that waited in vain for the others, and EventEnd any other end.
// EventSuccessConfirmed says that the owner has confirmed a success, and EventCrash that the
// run has crashed its worker. The last three are a start beyond the worker's capacity, one with
// an invalid ticket, and one on a worker that is draining.
const (
	EventStart              = "start"
	EventEnd                = "end"
	EventSuccess            = "done"
	EventGangTimeout        = "alone"
	EventSuccessConfirmed   = "confirmed"
	EventCrash              = "crash"
	EventOverload           = "overload"
	EventInvalidTicket      = "no_ticket"
	EventStartWhileDraining = "start_while_draining"
)

// New returns a site without workers that serves the table service, the advice service and
// the list of machines.
func New(cfg Config) *Site {
	s := &Site{cfg: cfg, Store: NewStore(), adviceService: newAdvice(cfg.RejectOneIn), drainedAt: make(map[string]time.Time), gangs: make(map[gangKey]*gangRun)}
	s.stops = []func(){
		cfg.Serve(cfg.StoreAddress, s.Store.Handler()),
		cfg.Serve(cfg.AdviceAddress, s.adviceService),
		cfg.Serve(cfg.MachinesAddress, http.HandlerFunc(s.serveMachines)),
	}
	return s
}

// recordDrained records when a worker's announcement that it is draining is first stored.
func (s *Site) recordDrained(worker string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.drainedAt[worker]; !ok {
		s.drainedAt[worker] = time.Now()
	}
}

// DrainedAt returns when each worker's announcement that it is draining was stored.
func (s *Site) DrainedAt() map[string]time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.drainedAt)
}

// Close stops all workers and the services of the site.
func (s *Site) Close() {
	s.mu.Lock()
	workers := append([]*Worker(nil), s.workers...)
	s.mu.Unlock()
	for _, w := range workers {
		w.Stop()
	}
	for _, stop := range s.stops {
		stop()
	}
}

// Owner returns the host that last renewed a worker's lease with a valid fence.
func (s *Site) Owner() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.owner
}

func (s *Site) recordOwner(from string) {
	s.mu.Lock()
	s.owner = from
	s.mu.Unlock()
}

// Events returns what has happened on the workers so far, in order.
func (s *Site) Events() []Event {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Event(nil), s.events...)
}

func (s *Site) record(w *Worker, task string, run int64, kind string, fence int64) {
	s.addEvent(Event{Worker: w.ID, Task: task, Run: run, Kind: kind, Fence: fence})
}

// addEvent records an event at the current time.
func (s *Site) addEvent(e Event) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e.At = time.Now()
	s.events = append(s.events, e)
}

// Route is a queue of the configuration.
type Route struct {
	Name        string      `json:"Name"`
	Host        string      `json:"Host"`
	PathPrefix  string      `json:"PathPrefix"`
	Priority    int         `json:"Priority"`
	MaxAttempts int         `json:"MaxAttempts"`
	Stretch     float64     `json:"Stretch"`
	TargetMS    int64       `json:"TargetLatencyMs"`
	Upstream    string      `json:"Upstream"`
	Advice      *AdviceCost `json:"advice,omitempty"`
	Public      bool        `json:"Public,omitempty"`
}

// AdviceCost is what a call of the advice service costs.
type AdviceCost struct {
	DecideMS float64 `json:"decide_ms"`
	EachMS   float64 `json:"each_ms"`
	ValidMS  int64   `json:"valid_ms"`
}

// Team is a team of the configuration.
type Team struct {
	Name   string    `json:"Name"`
	Keys   []string  `json:"ApiKeys"`
	Weight float64   `json:"Weight"`
	Limit  TeamLimit `json:"MaxItems"`
}

// TeamLimit is the most that a team may have running; 0 means no limit.
type TeamLimit struct {
	CPUMilli int64 `json:"Cpu"`
	MemoryMB int64 `json:"MemMb"`
	GPU      int64 `json:"Gpu"`
}

type config struct {
	Version   int64     `json:"Version"`
	Routes    []Route   `json:"Routes"`
	Upstreams []service `json:"Upstreams"`
	Teams     []Team    `json:"Tenants,omitempty"`
}

type service struct {
	Name string `json:"Name"`
}

// Configure stores a version of the configuration with the routes, their services and the
// site's own service, and without teams.
func (s *Site) Configure(version int64, routes ...Route) { s.ConfigureTeams(version, nil, routes...) }

// ConfigureTeams is Configure with teams.
func (s *Site) ConfigureTeams(version int64, teams []Team, routes ...Route) {
	services := []service{{s.cfg.Service}}
	for _, r := range routes {
		if upstream := (service{r.Upstream}); !slices.Contains(services, upstream) {
			services = append(services, upstream)
		}
	}
	s.Store.Put("op", "config", config{version, routes, services, teams})
}

type machines struct {
	Machines []machine `json:"Machines"`
	Next     *string   `json:"NextToken"`
}

type machine struct {
	Machine string `json:"machine"`
	Pool    string `json:"pool"`
	State   string `json:"State"`
	ID      string `json:"Id"`
	// Labels are those of the worker on the machine; one of them names the rack.
	Labels []string `json:"Labels"`
}

// MachineLists returns how often the machines have been listed.
func (s *Site) MachineLists() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.machineLists
}

func (s *Site) serveMachines(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	s.machineLists++
	workers := append([]*Worker(nil), s.workers...)
	s.mu.Unlock()
	list := machines{Machines: []machine{}}
	for _, worker := range workers {
		m := machine{Machine: worker.machine, Pool: cmp.Or(worker.cfg.Service, s.cfg.Service), State: "up", ID: worker.ID, Labels: worker.labels()}
		if worker.Crashed() {
			m.State, m.ID = "down", ""
		}
		list.Machines = append(list.Machines, m)
	}
	writeJSON(w, http.StatusOK, list)
}

type problem struct {
	Error string `json:"Error"`
}

func hostOf(address string) string {
	if host, _, err := net.SplitHostPort(address); err == nil {
		return host
	}
	return address
}

func decodeBody(w http.ResponseWriter, r *http.Request, v any) bool {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxTxnBytes))
	if err == nil {
		err = json.Unmarshal(body, v)
	}
	if err != nil {
		writeJSON(w, http.StatusBadRequest, problem{err.Error()})
		return false
	}
	return true
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		panic("site: answer can't be encoded: " + err.Error())
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// An error means that the caller has disconnected: nobody is left to report it to.
	_, _ = w.Write(body)
}
