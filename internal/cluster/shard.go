// SPDX-License-Identifier: Apache-2.0

package cluster

import (
	"strconv"
	"strings"
)

// ShardID identifies a shard: some racks of a service's workers, with the jobs that run on
// them.
type ShardID struct {
	Service string
	Index   int
}

// String returns the shard's name: the service and the index, joined by a slash.
func (s ShardID) String() string { return s.Service + "/" + strconv.Itoa(s.Index) }

// ParseShardID parses a shard's name.
func ParseShardID(name string) (ShardID, error) {
	at := strings.LastIndexByte(name, '/')
	if at < 0 {
		return ShardID{}, invalid("shard", "wants a service and a number: "+name)
	}
	index, err := strconv.Atoi(name[at+1:])
	if err != nil || index < 0 {
		return ShardID{}, invalid("shard", "wants a number: "+name)
	}
	return ShardID{Service: name[:at], Index: index}, nil
}

// MarshalText encodes the shard as its name.
func (s ShardID) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// UnmarshalText decodes a shard's name.
func (s *ShardID) UnmarshalText(text []byte) error {
	id, err := ParseShardID(string(text))
	if err == nil {
		*s = id
	}
	return err
}
