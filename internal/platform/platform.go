// SPDX-License-Identifier: Apache-2.0

// Package platform speaks to the platform's table service, object store and
// host list over HTTP.
//
// The package holds the types that cross the interface and one adapter,
// Client. Packages that need the platform declare the few calls they use as an
// interface of their own, which Client and the stand-in both meet.
//
// # Usage
//
//	c := platform.NewClient(url, httpClient, 2*time.Second)
//	res, err := c.Commit(ctx, platform.Txn{If: …, Put: …})
//	if err != nil { … } // the write may or may not have taken effect
//	if !res.Committed { … } // res.Mismatch names the rows that differ
package platform

import (
	"encoding/json"

	"switchbank.example/switchbank/internal/resource"
)

// Row is one row of the table service.
type Row struct {
	Table string `json:"table"`
	Key   string `json:"key"`
	// Version rises with every write of the row; 0 means that there is no row.
	Version int64           `json:"version"`
	Value   json.RawMessage `json:"value,omitempty"`
}

// Condition asks that a row has a version when a transaction commits.
type Condition struct {
	Table string `json:"table"`
	Key   string `json:"key"`
	// Version is the version asked for; 0 asks that there is no row.
	Version int64 `json:"version"`
}

// Put writes a row.
type Put struct {
	Table string          `json:"table"`
	Key   string          `json:"key"`
	Value json.RawMessage `json:"value"`
}

// Delete removes a row; a missing row is not an error.
type Delete struct {
	Table string `json:"table"`
	Key   string `json:"key"`
}

// Txn is a set of writes that take effect together, or not at all when a
// condition does not hold.
type Txn struct {
	If     []Condition `json:"if,omitempty"`
	Put    []Put       `json:"put,omitempty"`
	Delete []Delete    `json:"delete,omitempty"`
}

// TxnResult tells what became of a Txn.
type TxnResult struct {
	Committed bool `json:"committed"`
	// Mismatch holds the present state of the rows whose condition failed.
	Mismatch []Row `json:"mismatch,omitempty"`
	// Versions are the new versions of the rows put, in order.
	Versions []int64 `json:"versions,omitempty"`
}

// HostState is what the host list says of a host.
type HostState string

// The states of a host.
const (
	HostLive    HostState = "live"
	HostLeaving HostState = "leaving"
	HostGone    HostState = "gone"
)

// Host is one worker in the platform's host list, which lags behind the truth.
type Host struct {
	ID         string          `json:"id"`
	Address    string          `json:"address"`
	DataCentre string          `json:"data_centre"`
	Rack       string          `json:"rack"`
	State      HostState       `json:"state"`
	Capacity   resource.Amount `json:"capacity"`
}

// Rows is the answer to a list of rows.
type Rows struct {
	Rows []Row `json:"rows"`
}

// Hosts is the answer to a list of hosts.
type Hosts struct {
	Hosts []Host `json:"hosts"`
}
