// SPDX-License-Identifier: Apache-2.0

package cell

import (
	"fmt"

	lru "github.com/hashicorp/golang-lru/v2"
)

// newCache returns an empty cache by job ID, which drops the entries that were used longest ago once
// it has size entries.
func newCache[V any](size int) *lru.Cache[string, V] {
	c, err := lru.New[string, V](size)
	if err != nil {
		panic(fmt.Sprintf("cell: a cache can't have a size of %d: %v", size, err))
	}
	return c
}
