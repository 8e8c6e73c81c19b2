// SPDX-License-Identifier: Apache-2.0

// Package platform is a small stand-in for the platform's table service, object
// store and host list, for tests and for the local run.
//
// It keeps everything in memory. Faults can be injected: an outage, slow calls, and
// commits whose reply is lost, with or without the write having taken effect.
//
// # Usage
//
//	p := platform.New()
//	p.SetFaults(platform.Faults{LoseReplies: 1})
//	http.Serve(l, p.Handler())
package platform

import (
	"cmp"
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"switchbank.example/switchbank/internal/platform"
)

// Faults are the faults that the stand-in injects.
type Faults struct {
	// Down makes every call fail without effect.
	Down bool `json:"down"`
	// DelayMS is added before each call, in milliseconds.
	DelayMS int64 `json:"delay_ms"`
	// LoseReplies is the number of next commits that take effect but return an error.
	LoseReplies int `json:"lose_replies"`
	// DropCommits is the number of next commits that fail without effect.
	DropCommits int `json:"drop_commits"`
	// ObjectsDown makes every call of the object store fail.
	ObjectsDown bool `json:"objects_down"`
}

// Counts are the numbers of calls so far. Conflicts are commits refused because a row had
// changed.
type Counts struct {
	Commits   int64 `json:"commits"`
	Conflicts int64 `json:"conflicts"`
	Reads     int64 `json:"reads"`
}

// Platform is the stand-in; its methods match those of the platform's client.
type Platform struct {
	mu      sync.Mutex
	rows    map[rowKey]platform.Row
	objects map[string][]byte
	hosts   map[string]platform.Host
	faults  Faults
	counts  Counts
	version int64
}

type rowKey struct{ table, key string }

var errInjected = errors.New("stand-in fault")

// New returns an empty platform.
func New() *Platform {
	return &Platform{
		rows:    make(map[rowKey]platform.Row),
		objects: make(map[string][]byte),
		hosts:   make(map[string]platform.Host),
	}
}

// SetFaults replaces the injected faults.
func (p *Platform) SetFaults(f Faults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
}

// Counts returns the numbers of calls so far.
func (p *Platform) Counts() Counts {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.counts
}

// SetHost adds a host to the host list, or replaces the host with the same ID.
func (p *Platform) SetHost(h platform.Host) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.hosts[h.ID] = h
}

// RemoveHost removes a host from the host list.
func (p *Platform) RemoveHost(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.hosts, id)
}

// Commit applies a transaction if all rows named in its If have the versions given there.
func (p *Platform) Commit(ctx context.Context, t platform.Txn) (platform.TxnResult, error) {
	if err := p.applyFaults(ctx); err != nil {
		return platform.TxnResult{}, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.counts.Commits++
	if p.faults.DropCommits > 0 {
		p.faults.DropCommits--
		return platform.TxnResult{}, errInjected
	}
	res := p.commitLocked(t)
	if p.faults.LoseReplies > 0 {
		p.faults.LoseReplies--
		return platform.TxnResult{}, errInjected
	}
	return res, nil
}

func (p *Platform) commitLocked(t platform.Txn) platform.TxnResult {
	var res platform.TxnResult
	for _, c := range t.If {
		row := p.rowLocked(c.Table, c.Key)
		if row.Version != c.Version {
			res.Mismatch = append(res.Mismatch, row)
		}
	}
	if len(res.Mismatch) > 0 {
		p.counts.Conflicts++
		return res
	}
	for _, put := range t.Put {
		p.version++
		row := platform.Row{Table: put.Table, Key: put.Key, Version: p.version, Value: slices.Clone(put.Value)}
		p.rows[rowKey{put.Table, put.Key}] = row
		res.Versions = append(res.Versions, row.Version)
	}
	for _, del := range t.Delete {
		delete(p.rows, rowKey{del.Table, del.Key})
	}
	res.Committed = true
	return res
}

func (p *Platform) rowLocked(table, key string) platform.Row {
	row, ok := p.rows[rowKey{table, key}]
	if !ok {
		return platform.Row{Table: table, Key: key}
	}
	return row
}

// Get returns a row; a row that does not exist has version 0.
func (p *Platform) Get(ctx context.Context, table, key string) (platform.Row, error) {
	if err := p.applyFaults(ctx); err != nil {
		return platform.Row{}, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.counts.Reads++
	return p.rowLocked(table, key), nil
}

// List returns the rows of a table whose key starts with prefix, in key order.
func (p *Platform) List(ctx context.Context, table, prefix string) ([]platform.Row, error) {
	if err := p.applyFaults(ctx); err != nil {
		return nil, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.counts.Reads++
	var rows []platform.Row
	for k, row := range p.rows {
		if k.table == table && strings.HasPrefix(k.key, prefix) {
			rows = append(rows, row)
		}
	}
	slices.SortFunc(rows, func(a, b platform.Row) int { return cmp.Compare(a.Key, b.Key) })
	return rows, nil
}

// Hosts returns the hosts of a data centre.
func (p *Platform) Hosts(ctx context.Context, dataCentre string) ([]platform.Host, error) {
	if err := p.applyFaults(ctx); err != nil {
		return nil, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.counts.Reads++
	var hosts []platform.Host
	for _, h := range p.hosts {
		if h.DataCentre == dataCentre {
			hosts = append(hosts, h)
		}
	}
	slices.SortFunc(hosts, func(a, b platform.Host) int { return cmp.Compare(a.ID, b.ID) })
	return hosts, nil
}

// PutObject stores an object.
func (p *Platform) PutObject(ctx context.Context, key string, data []byte) error {
	if err := p.applyObjectFaults(ctx); err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.objects[key] = slices.Clone(data)
	return nil
}

// GetObject returns an object.
func (p *Platform) GetObject(ctx context.Context, key string) ([]byte, error) {
	if err := p.applyObjectFaults(ctx); err != nil {
		return nil, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	data, ok := p.objects[key]
	if !ok {
		return nil, &platform.Error{Op: "object GET", Kind: platform.KindNotFound, Err: errors.New(key)}
	}
	return slices.Clone(data), nil
}

// DeleteObject removes an object.
func (p *Platform) DeleteObject(ctx context.Context, key string) error {
	if err := p.applyObjectFaults(ctx); err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.objects, key)
	return nil
}

// applyFaults delays a call and returns the error that the injected faults call for.
func (p *Platform) applyFaults(ctx context.Context) error {
	p.mu.Lock()
	f := p.faults
	p.mu.Unlock()
	if f.DelayMS > 0 {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(time.Duration(f.DelayMS) * time.Millisecond):
		}
	}
	if f.Down {
		return errInjected
	}
	return ctx.Err()
}

// applyObjectFaults does the same as applyFaults for a call of the object store.
func (p *Platform) applyObjectFaults(ctx context.Context) error {
	if err := p.applyFaults(ctx); err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.faults.ObjectsDown {
		return errInjected
	}
	return nil
}
