// SPDX-License-Identifier: Apache-2.0

package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record writes what happens, with the seconds since the start of the case.
type record struct {
	mu    sync.Mutex
	file  *os.File
	out   *bufio.Writer
	began time.Time
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: f, out: bufio.NewWriter(f), began: time.Now()}, nil
}

// printf records a line at the current time.
func (r *record) printf(format string, args ...any) { r.printAt(time.Now(), format, args...) }

// printAt records a line about something that happened at a time.
func (r *record) printAt(at time.Time, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%8.3f s  %s\n", at.Sub(r.began).Seconds(), fmt.Sprintf(format, args...))
	_ = r.out.Flush()
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.out.Flush()
	_ = r.file.Close()
}
