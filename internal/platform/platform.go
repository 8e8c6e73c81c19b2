// SPDX-License-Identifier: Apache-2.0

// Package platform calls the platform's table service, object store and host list over
// HTTP.
//
// The package holds the messages of the platform's interface and one implementation,
// Client. Packages that use the platform declare interfaces with the few methods that they
// need, which both Client and the stand-in platform implement.
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
	// Version increases with every write of the row; 0 means that the row does not exist.
	Version int64           `json:"version"`
	Value   json.RawMessage `json:"value,omitempty"`
}

// Condition requires that a row has a certain version when a transaction commits.
type Condition struct {
	Table string `json:"table"`
	Key   string `json:"key"`
	// Version is the required version; 0 requires that the row does not exist.
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

// Txn is a transaction: its writes take effect together, or not at all if a condition does
// not hold.
type Txn struct {
	If     []Condition `json:"if,omitempty"`
	Put    []Put       `json:"put,omitempty"`
	Delete []Delete    `json:"delete,omitempty"`
}

// TxnResult is the result of a transaction.
type TxnResult struct {
	Committed bool `json:"committed"`
	// Mismatch holds the current state of the rows whose condition failed.
	Mismatch []Row `json:"mismatch,omitempty"`
	// Versions holds the new versions of the written rows, in the order of Txn.Put.
	Versions []int64 `json:"versions,omitempty"`
}

// HostState is the state of a host in the host list.
type HostState string

// The states of a host.
const (
	HostLive    HostState = "live"
	HostLeaving HostState = "leaving"
	HostGone    HostState = "gone"
)

// Host is a worker in the platform's host list, which may be out of date.
type Host struct {
	ID         string          `json:"id"`
	Address    string          `json:"address"`
	DataCentre string          `json:"data_centre"`
	Rack       string          `json:"rack"`
	State      HostState       `json:"state"`
	Capacity   resource.Amount `json:"capacity"`
}

// Rows is the answer to a listing of rows.
type Rows struct {
	Rows []Row `json:"rows"`
}

// Hosts is the answer to a listing of hosts.
type Hosts struct {
	Hosts []Host `json:"hosts"`
}
