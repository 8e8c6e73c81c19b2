// SPDX-License-Identifier: Apache-2.0

//go:build e2e

package e2e_test

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// The tests of this file open a crowd of connections to one node and send what callers that keep
// to the limits never send. The node must live, stay within the memory and the descriptors that
// it may use, and serve an ordinary submission while the crowd is connected and afterwards.

const (
	// crowdMemoryMB is the node's limit of memory, which its anonymous memory must stay below.
	crowdMemoryMB = 64
	// crowdMaxFiles is the limit of descriptors in tests that open more connections than that,
	// and crowdSpareFiles how many of them must stay free for the store, workers and peers.
	crowdMaxFiles   = 512
	crowdSpareFiles = 64
	// crowdHoldTime is how long a crowd stays connected after it has sent everything.
	crowdHoldTime = 8 * time.Second
	// crowdSendTime bounds the time in which a client of a crowd sends.
	crowdSendTime = 30 * time.Second
	// sampleInterval is the time between two readings of the node's memory and descriptors.
	sampleInterval = 20 * time.Millisecond
	// legalBodyBytes is the size of the crowds' bodies, and siteBodyBytes the largest body that a
	// site without a limit in its configuration accepts.
	legalBodyBytes = 256 << 10
	siteBodyBytes  = 1 << 20
)

// crowd is a number of clients that each send the same on a connection of their own, and keep the
// connection open without reading.
type crowd struct {
	clients int
	// maxFiles is the node's limit of descriptors, or 0 for the default.
	maxFiles int
	// ready sends to the listener of the balancer's checks in place of the callers'.
	ready bool
	// send writes to the connection; an error ends it, as the node may close any connection.
	send func(w io.Writer) error
}

// run opens the crowd to a new node and checks the node.
func (k crowd) run(t *testing.T) {
	c := newLimitedSiteCell(t, 1, crowdMemoryMB, k.maxFiles)
	n := c.nodes[0]
	c.submit(0)
	usage := watchUsage(t, n.cmd.Process.Pid)
	address := n.callers
	if k.ready {
		address = n.ready
	}
	release := k.open(t, address)
	time.Sleep(crowdHoldTime)
	c.submit(1)
	release()
	c.submit(2)
	peak := usage()
	t.Logf("peak of anonymous memory %d MB, of descriptors %d", peak.memoryBytes>>20, peak.files)
	if peak.memoryBytes > crowdMemoryMB<<20 {
		t.Errorf("the node used %d MB of anonymous memory, and may use %d MB", peak.memoryBytes>>20, crowdMemoryMB)
	}
	if k.maxFiles > 0 && peak.files > k.maxFiles-crowdSpareFiles {
		t.Errorf("the node had %d descriptors open, and may have %d less %d", peak.files, k.maxFiles, crowdSpareFiles)
	}
	if !processLives(n.cmd.Process.Pid) {
		t.Error("the node's process has ended")
	}
}

// open connects the clients, waits until each has sent everything or was refused, and returns a
// function that closes their connections.
func (k crowd) open(t *testing.T, address string) (release func()) {
	var sending sync.WaitGroup
	var mu sync.Mutex
	var conns []net.Conn
	for range k.clients {
		sending.Go(func() {
			conn, err := (&net.Dialer{Timeout: crowdSendTime}).DialContext(t.Context(), "tcp", address)
			if err != nil {
				return
			}
			mu.Lock()
			conns = append(conns, conn)
			mu.Unlock()
			if conn.SetWriteDeadline(time.Now().Add(crowdSendTime)) == nil {
				_ = k.send(conn)
			}
		})
	}
	sending.Wait()
	return func() {
		for _, conn := range conns {
			_ = conn.Close()
		}
	}
}

// usage is what a process has in use.
type usage struct {
	memoryBytes int64
	files       int
}

// watchUsage samples a process until the function that it returns is called, which returns the
// peaks.
func watchUsage(t *testing.T, pid int) (stop func() usage) {
	var peak usage
	var watching sync.WaitGroup
	done := make(chan struct{})
	watching.Go(func() {
		for {
			peak.memoryBytes = max(peak.memoryBytes, anonymousMemory(pid))
			peak.files = max(peak.files, openFiles(pid))
			select {
			case <-done:
				return
			case <-time.After(sampleInterval):
			}
		}
	})
	stop = sync.OnceValue(func() usage {
		close(done)
		watching.Wait()
		return peak
	})
	t.Cleanup(func() { stop() })
	return stop
}

// anonymousMemory returns a process's resident anonymous memory in bytes, or 0 if it has ended.
func anonymousMemory(pid int) int64 {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	_, rest, _ := strings.Cut(string(status), "RssAnon:")
	fields := strings.Fields(rest)
	if len(fields) == 0 {
		return 0
	}
	kilobytes, err := strconv.ParseInt(fields[0], 10, 64)
	if err != nil {
		return 0
	}
	return kilobytes << 10
}

// openFiles returns the number of a process's open descriptors.
func openFiles(pid int) int {
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	if err != nil {
		return 0
	}
	return len(entries)
}

// processLives reports whether a process runs.
func processLives(pid int) bool { return anonymousMemory(pid) > 0 }

// crowdJobs numbers the jobs of the crowds' requests.
var crowdJobs atomic.Int64

// requestHead returns the head of a submission with the given header lines, to a new job's path.
func requestHead(lines ...string) string {
	return fmt.Sprintf("POST /urgent/%016x HTTP/1.1\r\nHost: h\r\nContent-Type: application/json\r\n%s\r\n", 1<<32+crowdJobs.Add(1), joinLines(lines))
}

func joinLines(lines []string) string {
	if len(lines) == 0 {
		return ""
	}
	return strings.Join(lines, "\r\n") + "\r\n"
}

func contentLength(n int) string { return "Content-Length: " + strconv.Itoa(n) }

const chunkedLine = "Transfer-Encoding: chunked"

// paddedJob returns a valid submission of the given size.
func paddedJob(size int) []byte {
	return append(bytes.Repeat([]byte(" "), size-len(siteJob)), siteJob...)
}

// stepsJob returns a submission of at most size bytes whose steps are all the same.
func stepsJob(step string, size int) []byte {
	const prefix, suffix = `{"Spec":"300 cpu=500","Steps":[`, `]}`
	n := (size - len(prefix) - len(suffix)) / (len(step) + 1)
	return []byte(prefix + strings.TrimSuffix(strings.Repeat(step+",", n), ",") + suffix)
}

// write writes each part on its own.
func write(w io.Writer, parts ...[]byte) error {
	for _, part := range parts {
		if _, err := w.Write(part); err != nil {
			return err
		}
	}
	return nil
}

// writePieces writes data in pieces with a pause after each.
func writePieces(w io.Writer, data []byte, pieceBytes int, pause time.Duration) error {
	for len(data) > 0 {
		n := min(pieceBytes, len(data))
		if err := write(w, data[:n]); err != nil {
			return err
		}
		data = data[n:]
		time.Sleep(pause)
	}
	return nil
}

// chunks returns data as chunks of the given size, each with an extension, without the last chunk.
func chunks(data []byte, chunkBytes int, extension string) []byte {
	var out bytes.Buffer
	for len(data) > 0 {
		n := min(chunkBytes, len(data))
		fmt.Fprintf(&out, "%x%s\r\n%s\r\n", n, extension, data[:n])
		data = data[n:]
	}
	return out.Bytes()
}

// TestUnfinishedBodiesExhaustMemory sends bodies of legal size but for their last byte.
func TestUnfinishedBodiesExhaustMemory(t *testing.T) {
	body := paddedJob(legalBodyBytes)
	crowd{clients: 300, send: func(w io.Writer) error {
		return write(w, []byte(requestHead(contentLength(len(body)))), body[:len(body)-1])
	}}.run(t)
}

// TestSlowBodiesExhaustMemory sends the same in pieces.
func TestSlowBodiesExhaustMemory(t *testing.T) {
	body := paddedJob(legalBodyBytes)
	crowd{clients: 300, send: func(w io.Writer) error {
		if err := write(w, []byte(requestHead(contentLength(len(body))))); err != nil {
			return err
		}
		return writePieces(w, body[:len(body)-1], 8<<10, 100*time.Millisecond)
	}}.run(t)
}

// TestLargeChunksExhaustMemory sends chunks of 4 KB and not the last one.
func TestLargeChunksExhaustMemory(t *testing.T) {
	body := chunks(paddedJob(legalBodyBytes), 4<<10, "")
	crowd{clients: 300, send: func(w io.Writer) error {
		return write(w, []byte(requestHead(chunkedLine)), body)
	}}.run(t)
}

// TestSmallChunksExhaustMemory sends chunks of one byte and not the last one.
func TestSmallChunksExhaustMemory(t *testing.T) {
	body := chunks(paddedJob(legalBodyBytes), 1, "")
	crowd{clients: 300, send: func(w io.Writer) error {
		return write(w, []byte(requestHead(chunkedLine)), body)
	}}.run(t)
}

// TestChunkExtensionsExhaustMemory sends chunks with long extensions, and a trailer without end.
func TestChunkExtensionsExhaustMemory(t *testing.T) {
	body := chunks(paddedJob(legalBodyBytes), 1<<10, ";"+strings.Repeat("x", 1<<10))
	trailer := []byte("0\r\n" + strings.Repeat("T: "+strings.Repeat("x", 100)+"\r\n", 2000))
	crowd{clients: 300, send: func(w io.Writer) error {
		return write(w, []byte(requestHead(chunkedLine)), body, trailer)
	}}.run(t)
}

// TestLongHeadsExhaustMemory sends heads of 960 KB without end, of one long line.
func TestLongHeadsExhaustMemory(t *testing.T) {
	head := []byte(strings.TrimSuffix(requestHead("X-Long: "+strings.Repeat("x", 960<<10)), "\r\n\r\n"))
	crowd{clients: 150, send: func(w io.Writer) error { return write(w, head) }}.run(t)
}

// manyLines returns header lines with distinct short names of about size bytes in all.
func manyLines(size int) []string {
	var lines []string
	for total := 0; total < size; {
		line := "X" + strconv.FormatInt(int64(len(lines)), 36) + ":"
		lines = append(lines, line)
		total += len(line) + 2
	}
	return lines
}

// TestManyHeaderLinesExhaustMemory sends heads of 300 KB without end, of short lines.
func TestManyHeaderLinesExhaustMemory(t *testing.T) {
	head := []byte(strings.TrimSuffix(requestHead(manyLines(300<<10)...), "\r\n"))
	crowd{clients: 100, send: func(w io.Writer) error { return write(w, head) }}.run(t)
}

// TestHeadsBelowTheLimitExhaustMemory sends heads of 7 KB, of short lines, and a body that lacks
// its last byte.
func TestHeadsBelowTheLimitExhaustMemory(t *testing.T) {
	head := requestHead(append(manyLines(7<<10), contentLength(100))...)
	crowd{clients: 600, send: func(w io.Writer) error {
		return write(w, []byte(head), paddedJobPrefix(99))
	}}.run(t)
}

// paddedJobPrefix returns the first n bytes of a valid submission.
func paddedJobPrefix(n int) []byte { return []byte(siteJob)[:n] }

// TestReadyHeadsExhaustMemory sends heads without end to the listener of the balancer's checks.
func TestReadyHeadsExhaustMemory(t *testing.T) {
	head := []byte("GET / HTTP/1.1\r\nHost: h\r\nX-Long: " + strings.Repeat("x", 960<<10))
	crowd{clients: 150, ready: true, send: func(w io.Writer) error { return write(w, head) }}.run(t)
}

// TestEmptyLinesExhaustMemory sends empty lines without end before a request.
func TestEmptyLinesExhaustMemory(t *testing.T) {
	lines := bytes.Repeat([]byte("\r\n"), 800<<10)
	crowd{clients: 200, send: func(w io.Writer) error { return write(w, lines) }}.run(t)
}

// TestInvalidStepsExhaustMemory sends whole bodies of steps that say nothing.
func TestInvalidStepsExhaustMemory(t *testing.T) {
	body := stepsJob("{}", legalBodyBytes)
	crowd{clients: 20, send: func(w io.Writer) error {
		return write(w, []byte(requestHead(contentLength(len(body)))), body)
	}}.run(t)
}

// TestShortStepsExhaustMemory sends whole bodies of the shortest valid steps.
func TestShortStepsExhaustMemory(t *testing.T) {
	body := stepsJob(`{"Count":1}`, legalBodyBytes)
	crowd{clients: 30, send: func(w io.Writer) error {
		return write(w, []byte(requestHead(contentLength(len(body)))), body)
	}}.run(t)
}

// TestLargeJobsExhaustMemory sends whole valid jobs that are padded to the legal size.
func TestLargeJobsExhaustMemory(t *testing.T) {
	body := paddedJob(legalBodyBytes)
	crowd{clients: 300, send: func(w io.Writer) error {
		return write(w, []byte(requestHead(contentLength(len(body)))), body)
	}}.run(t)
}

// TestUnreadAnswersExhaustMemory sends requests one after another without reading the answers.
func TestUnreadAnswersExhaustMemory(t *testing.T) {
	requests := bytes.Repeat([]byte("GET /none/ HTTP/1.1\r\nHost: h\r\n\r\n"), 20_000)
	crowd{clients: 100, send: func(w io.Writer) error { return write(w, requests) }}.run(t)
}

// TestSilentClientsExhaustDescriptors opens connections on which nothing is sent.
func TestSilentClientsExhaustDescriptors(t *testing.T) {
	crowd{clients: 700, maxFiles: crowdMaxFiles, send: func(io.Writer) error { return nil }}.run(t)
}

// TestUnfinishedBodiesExhaustDescriptors opens connections on which small bodies lack their last
// byte.
func TestUnfinishedBodiesExhaustDescriptors(t *testing.T) {
	crowd{clients: 700, maxFiles: crowdMaxFiles, send: func(w io.Writer) error {
		return write(w, []byte(requestHead(contentLength(100))), paddedJobPrefix(99))
	}}.run(t)
}

// TestUnfinishedBodiesOfNoQueueExhaustDescriptors is the same for a path that isn't a queue's.
func TestUnfinishedBodiesOfNoQueueExhaustDescriptors(t *testing.T) {
	head := "POST /none/ HTTP/1.1\r\nHost: h\r\n" + contentLength(100) + "\r\n\r\n"
	crowd{clients: 700, maxFiles: crowdMaxFiles, send: func(w io.Writer) error {
		return write(w, []byte(head), paddedJobPrefix(99))
	}}.run(t)
}

// TestUnreadAnswersExhaustDescriptors sends requests one after another without reading the answers,
// with a small receive buffer.
func TestUnreadAnswersExhaustDescriptors(t *testing.T) {
	requests := bytes.Repeat([]byte("GET /none/ HTTP/1.1\r\nHost: h\r\n\r\n"), 2000)
	crowd{clients: 700, maxFiles: crowdMaxFiles, send: func(w io.Writer) error {
		if tcp, ok := w.(*net.TCPConn); ok {
			if err := tcp.SetReadBuffer(2 << 10); err != nil {
				return err
			}
		}
		// The node may stop reading before it has read all requests.
		for data := requests; len(data) > 0; data = data[min(len(data), 4<<10):] {
			if tcp, ok := w.(*net.TCPConn); ok && tcp.SetWriteDeadline(time.Now().Add(time.Second)) != nil {
				return nil
			}
			if err := write(w, data[:min(len(data), 4<<10)]); err != nil {
				return err
			}
		}
		return nil
	}}.run(t)
}

// TestReadyClientsExhaustDescriptors opens silent connections to the listener of the balancer's
// checks.
func TestReadyClientsExhaustDescriptors(t *testing.T) {
	crowd{clients: 700, maxFiles: crowdMaxFiles, ready: true, send: func(io.Writer) error { return nil }}.run(t)
}

// calmDeadlineMS is the deadline, in milliseconds, of calls that take long to send.
const calmDeadlineMS = 30_000

// TestLargestBodyIsServed sends the largest legal body over a slow link, whole and in chunks, and
// many in a row on one connection.
func TestLargestBodyIsServed(t *testing.T) {
	c := newLimitedSiteCell(t, 1, crowdMemoryMB, 0)
	body := paddedJob(siteBodyBytes)
	id := 0
	submit := func(body io.Reader, length int64) int {
		id++
		url := fmt.Sprintf("http://%s/urgent/%016x", c.nodes[0].callers, id)
		r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, url, body)
		if err != nil {
			t.Fatal(err)
		}
		r.Host, r.ContentLength = "h", length
		r.Header.Set("X-Switchbank-Deadline-Ms", strconv.Itoa(calmDeadlineMS))
		res, err := http.DefaultClient.Do(r)
		if err != nil {
			t.Error(err)
			return 0
		}
		_, err = io.Copy(io.Discard, res.Body)
		if closeErr := res.Body.Close(); err != nil || closeErr != nil {
			t.Error(err, closeErr)
		}
		return res.StatusCode
	}
	c.submit(1000)
	for _, length := range []int64{int64(len(body)), -1} {
		if status := submit(&slowReader{data: body}, length); status != http.StatusOK {
			t.Errorf("a body of length %d over a slow link was answered %d", length, status)
		}
	}
	for range 20 {
		if status := submit(bytes.NewReader(body), int64(len(body))); status != http.StatusOK {
			t.Errorf("the largest legal body was answered %d", status)
		}
	}
}

// slowReader reads its data at about 2 Mbit/s.
type slowReader struct{ data []byte }

// Read returns the next 8 KB after a pause.
func (r *slowReader) Read(b []byte) (int, error) {
	if len(r.data) == 0 {
		return 0, io.EOF
	}
	time.Sleep(32 * time.Millisecond)
	n := copy(b[:min(len(b), 8<<10)], r.data)
	r.data = r.data[n:]
	return n, nil
}
