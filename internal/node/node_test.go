// SPDX-License-Identifier: Apache-2.0

package node_test

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"switchbank.example/switchbank/examples"
	"switchbank.example/switchbank/internal/api"
	"switchbank.example/switchbank/internal/bundle"
	"switchbank.example/switchbank/internal/client"
	"switchbank.example/switchbank/internal/config"
	"switchbank.example/switchbank/internal/httpx"
	"switchbank.example/switchbank/internal/node"
	"switchbank.example/switchbank/internal/peer"
	"switchbank.example/switchbank/internal/shard"
	"switchbank.example/switchbank/internal/team"
	"switchbank.example/switchbank/standin/local"
	standin "switchbank.example/switchbank/standin/platform"
	"switchbank.example/switchbank/standin/worker"
)

const rivalToken = "the rival's token"

// testNode is a node on loopback addresses, with a stand-in platform.
type testNode struct {
	callers, peers, operators string
	n                         *node.Node
	platform                  *standin.Platform
}

func listen(t testing.TB) net.Listener {
	t.Helper()
	var lc net.ListenConfig
	l, err := lc.Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return l
}

// startNode runs a node with one worker and a bundle in force. change, if not nil, modifies
// the settings.
func startNode(t testing.TB, change func(*config.Config)) *testNode {
	t.Helper()
	cfg, err := config.Parse("node.yaml", examples.Node)
	if err != nil {
		t.Fatal(err)
	}
	cfg.DataCentres = []shard.DataCentre{{Name: cfg.DataCentre, WorkerShards: 1}}
	cfg.JobShards = 2
	cfg.Requests.DrainDelay = time.Millisecond
	cfg.Requests.DrainTimeout = time.Millisecond
	if change != nil {
		change(&cfg)
	}
	r := &testNode{platform: standin.New()}
	deps := node.Deps{Platform: r.platform, Log: zap.NewNop(), Callers: listen(t), Peers: listen(t), Operators: listen(t)}
	r.callers, r.peers, r.operators = deps.Callers.Addr().String(), deps.Peers.Addr().String(), deps.Operators.Addr().String()
	r.n = node.New(cfg, deps)
	ctx, stop := context.WithCancel(context.Background())
	var g errgroup.Group
	r.startWorker(t, ctx, &g)
	g.Go(func() error { return r.n.Run(ctx) })
	t.Cleanup(func() { stop(); _ = g.Wait() })
	r.putBundle(t)
	return r
}

func (r *testNode) startWorker(t testing.TB, ctx context.Context, g *errgroup.Group) { //nolint:revive // The test comes first here.
	l := listen(t)
	h := local.ExampleHost(0, "kosice-1")
	h.Address = l.Addr().String()
	w := worker.New(worker.Config{ID: h.ID, Capacity: h.Capacity, Listen: func() (net.Listener, error) { return listen(t), nil }})
	r.platform.SetHost(h)
	g.Go(func() error { _ = w.Serve(ctx, l); return nil })
}

func (r *testNode) client(team, token string) *client.Client {
	return client.New(client.Config{Callers: r.callers, Operators: r.operators, Team: team, Token: token})
}

// putBundle puts a bundle in force in which team inkasoft needs no token, and team rival
// has a token and a limit.
func (r *testNode) putBundle(t testing.TB) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	op := r.client("", "")
	if err := local.WaitReady(ctx, op); err != nil {
		t.Fatal(err)
	}
	b := bundle.Default()
	sum := sha256.Sum256([]byte(rivalToken))
	b.Teams = []team.Team{{Name: "inkasoft", Weight: 1}, {Name: "rival", Weight: 1, TokenSHA256: []string{hex.EncodeToString(sum[:])}}}
	b.Teams[1].Limit.CPUMilli = 4000
	b.Classes = []bundle.Class{{Name: "notice", Priority: 1}}
	b.Limits.BodyBytes = 4096
	if _, err := op.Propose(ctx, b, bundle.Proposal{Change: "c", Operator: "o"}); err != nil {
		t.Fatal(err)
	}
	head, err := op.AcceptWhenStaged(ctx, "c")
	if err != nil {
		t.Fatal(err)
	}
	if err := local.WaitInForce(ctx, op, head.Version); err != nil {
		t.Fatal(err)
	}
}

func job(id string) api.Workload {
	return api.Workload{
		ID: id, Team: "inkasoft", Kind: api.KindBatch, Class: "notice", Tasks: 1,
		Size: local.ExampleHost(0, "").Capacity, Command: []string{"sleep", "1ms"},
	}
}

// TestListenersServeOnlyTheirRoutes checks that no listener serves the routes of another.
func TestListenersServeOnlyTheirRoutes(t *testing.T) {
	t.Parallel()
	r := startNode(t, nil)
	for _, tt := range []struct{ where, address, method, path string }{
		{"callers", r.callers, http.MethodPost, peer.PathReserve},
		{"callers", r.callers, http.MethodGet, peer.PathSummary},
		{"callers", r.callers, http.MethodPost, node.PathDrain},
		{"callers", r.callers, http.MethodGet, "/metrics"},
		{"callers", r.callers, http.MethodGet, "/debug/pprof/"},
		{"peers", r.peers, http.MethodGet, node.PathStatus},
		{"peers", r.peers, http.MethodGet, "/v1/workloads"},
		{"operators", r.operators, http.MethodPost, peer.PathConfirm},
		{"operators", r.operators, http.MethodGet, "/v1/workloads"},
	} {
		req, err := http.NewRequestWithContext(t.Context(), tt.method, "http://"+tt.address+tt.path, strings.NewReader("{}"))
		if err != nil {
			t.Fatal(err)
		}
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		_ = resp.Body.Close()
		if resp.StatusCode != http.StatusNotFound {
			t.Errorf("%s %s on the %s' listener: %s", tt.method, tt.path, tt.where, resp.Status)
		}
	}
}

// TestInvalidWorkloadsAreRefused checks that invalid workloads are refused with the field at
// fault, and that none of them is stored.
func TestInvalidWorkloadsAreRefused(t *testing.T) {
	t.Parallel()
	r := startNode(t, nil)
	validJSON, err := json.Marshal(job("bad"))
	if err != nil {
		t.Fatal(err)
	}
	tests := []struct {
		name, old, new string
		status         int
		field          string
	}{
		{"unknown field", `"tasks":1`, `"tasks":1,"taks":2`, 400, "taks"},
		{"negative size", `"cpu_milli":16000`, `"cpu_milli":-1`, 422, "size.cpu_milli"},
		{"a size that no worker has", `"cpu_milli":16000`, `"cpu_milli":16001`, 422, "size"},
		{"no such class", `"notice"`, `"urgent"`, 422, "class"},
		{"another's team", `"inkasoft"`, `"rival"`, 422, "team"},
		{"too many tasks", `"tasks":1`, `"tasks":20001`, 422, "tasks"},
		{"wrong type", `"tasks":1`, `"tasks":"1"`, 400, "tasks"},
		{"bad id", `"bad"`, `"BAD ID"`, 422, "id"},
		{"a batch with slots", `"tasks":1`, `"tasks":1,"slots":2`, 422, "slots"},
		{"deadline over", `"tasks":1`, `"tasks":1,"deadline":"2020-01-01T00:00:00Z"`, 422, "deadline"},
		{"too large", `"sleep"`, `"` + strings.Repeat("x", 300<<10) + `"`, 413, ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			body := strings.Replace(string(validJSON), tt.old, tt.new, 1)
			status, p := r.postToCallers(t, "/v1/workloads", body, "inkasoft", nil)
			if status != tt.status || p.Field != tt.field || p.Reason == "" {
				t.Errorf("have %d %+v", status, p)
			}
		})
	}
	list, err := r.client("inkasoft", "").List(t.Context())
	if err != nil || len(list.Workloads) != 0 {
		t.Errorf("stored workloads: %+v, %v", list, err)
	}
}

func (r *testNode) postToCallers(t *testing.T, path, body, team string, header map[string]string) (int, httpx.Problem) {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+r.callers+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set(api.HeaderTeam, team)
	for k, v := range header {
		req.Header.Set(k, v)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	var p httpx.Problem
	_ = json.Unmarshal(data, &p)
	return resp.StatusCode, p
}

// TestInvalidRequestsAreRefused checks that requests with invalid headers or bodies are each
// refused for the right reason.
func TestInvalidRequestsAreRefused(t *testing.T) {
	t.Parallel()
	r := startNode(t, nil)
	now := time.Now().UTC().Format(time.RFC3339)
	tests := []struct {
		name, team, body string
		header           map[string]string
		status           int
		reason, field    string
	}{
		{"no team", "", "x", nil, 403, "team_not_known", api.HeaderTeam},
		{"no token", "rival", "x", nil, 401, "token_not_valid", ""},
		{"wrong token", "rival", "x", map[string]string{"Authorization": "Bearer nonsense"}, 401, "token_not_valid", ""},
		{"timeout", "inkasoft", "x", map[string]string{api.HeaderTimeout: "0"}, 422, "invalid_field", api.HeaderTimeout},
		{"timeout too long", "inkasoft", "x", map[string]string{api.HeaderTimeout: "99999999"}, 422, "invalid_field", api.HeaderTimeout},
		{"repeatable", "inkasoft", "x", map[string]string{api.HeaderRepeatable: "perhaps"}, 422, "invalid_field", api.HeaderRepeatable},
		{"key without time", "inkasoft", "x", map[string]string{api.HeaderKey: "k"}, 422, "invalid_field", api.HeaderKeyCreated},
		{"key repeatable", "inkasoft", "x", map[string]string{api.HeaderKey: "k", api.HeaderKeyCreated: now, api.HeaderRepeatable: "true"}, 422, "invalid_field", api.HeaderRepeatable},
		{"key too long", "inkasoft", "x", map[string]string{api.HeaderKey: strings.Repeat("k", 129), api.HeaderKeyCreated: now}, 422, "invalid_field", api.HeaderKey},
		{"key too old", "inkasoft", "x", map[string]string{api.HeaderKey: "k", api.HeaderKeyCreated: "2020-01-01T00:00:00Z"}, 409, "key_older_than_window", ""},
		{"body too large", "inkasoft", strings.Repeat("x", 5000), nil, 413, "body_too_large", ""},
		{"no such service", "inkasoft", "x", map[string]string{api.HeaderTimeout: "50"}, 503, "no_instance", ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			status, p := r.postToCallers(t, "/v1/services/none/requests", tt.body, tt.team, tt.header)
			if status != tt.status || p.Reason != tt.reason || p.Field != tt.field || p.Outcome == "" {
				t.Errorf("have %d %+v", status, p)
			}
		})
	}
}

// TestTeamsAreIsolated checks that a team can neither read nor cancel the workloads of
// another team, nor create one above its limit.
func TestTeamsAreIsolated(t *testing.T) {
	t.Parallel()
	r := startNode(t, nil)
	own, rival := r.client("inkasoft", ""), r.client("rival", rivalToken)
	if _, err := own.Create(t.Context(), job("mine")); err != nil {
		t.Fatal(err)
	}
	_, getErr := rival.Get(t.Context(), "mine", 0, true)
	_, cancelErr := rival.Cancel(t.Context(), "mine")
	for _, err := range []error{getErr, cancelErr} {
		if p, ok := client.ProblemOf(err); !ok || p.Status != http.StatusNotFound {
			t.Errorf("call on the workload of another team: %v", err)
		}
	}
	list, err := rival.List(t.Context())
	if err != nil || len(list.Workloads) != 0 {
		t.Errorf("list of another team: %+v, %v", list, err)
	}
	big := job("big")
	big.Team = "rival"
	if _, err := rival.Create(t.Context(), big); err == nil || !strings.Contains(err.Error(), "limit") {
		t.Errorf("workload above the team's limit: %v", err)
	}
}

// TestOperatorToken checks that the operators' listener refuses calls without a valid token.
func TestOperatorToken(t *testing.T) {
	t.Parallel()
	const token = "an operator's token"
	sum := sha256.Sum256([]byte(token))
	cfg, err := config.Parse("node.yaml", examples.Node)
	if err != nil {
		t.Fatal(err)
	}
	cfg.Operators.TokenSHA256 = []string{hex.EncodeToString(sum[:])}
	cfg.Requests.DrainDelay = time.Millisecond
	deps := node.Deps{Platform: standin.New(), Log: zap.NewNop(), Callers: listen(t), Peers: listen(t), Operators: listen(t)}
	r := &testNode{callers: deps.Callers.Addr().String(), operators: deps.Operators.Addr().String()}
	ctx, stop := context.WithCancel(context.Background())
	var g errgroup.Group
	g.Go(func() error { return node.New(cfg, deps).Run(ctx) })
	t.Cleanup(func() { stop(); _ = g.Wait() })
	if err := local.WaitReady(t.Context(), r.client("", "")); err != nil {
		t.Fatal(err)
	}
	for _, wrong := range []string{"", "another"} {
		_, err := r.client("", wrong).Drain(t.Context())
		if p, ok := client.ProblemOf(err); !ok || p.Status != http.StatusUnauthorized {
			t.Errorf("token %q: %v", wrong, err)
		}
	}
	if _, err := r.client("", token).Status(t.Context()); err != nil {
		t.Error(err)
	}
}

// TestCreateIsIdempotent checks that the same workload can be created twice, and that a
// different one with the same ID is refused.
func TestCreateIsIdempotent(t *testing.T) {
	t.Parallel()
	r := startNode(t, nil)
	c := r.client("inkasoft", "")
	for range 2 {
		if _, err := c.Create(t.Context(), job("same")); err != nil {
			t.Fatal(err)
		}
	}
	other := job("same")
	other.Tasks = 2
	_, err := c.Create(t.Context(), other)
	if p, ok := client.ProblemOf(err); !ok || p.Status != http.StatusConflict || p.Field != "id" {
		t.Errorf("different workload with the same ID: %v", err)
	}
	if _, err := c.Wait(t.Context(), "same", func(s api.Status) bool { return s.State == api.JobDone }); err != nil {
		t.Error(err)
	}
}

// TestWorkloadsAndKeysAreBounded checks that a shard refuses workloads and keys beyond its
// limits.
func TestWorkloadsAndKeysAreBounded(t *testing.T) {
	t.Parallel()
	r := startNode(t, func(c *config.Config) {
		c.JobShards, c.Limits.Keys, c.Limits.Workloads = 1, 3, 2
	})
	c := r.client("inkasoft", "")
	for i := range 4 {
		_, err := c.Create(t.Context(), job(fmt.Sprintf("job-%d", i)))
		p, _ := client.ProblemOf(err)
		if full := p.Reason == "too_many_workloads" && p.RetryAfterMS > 0; full != (i >= 2) {
			t.Errorf("workload %d: %v", i, err)
		}
	}
	for i := range 5 {
		status, p := r.postToCallers(t, "/v1/services/none/requests", "x", "inkasoft", map[string]string{
			api.HeaderKey: fmt.Sprintf("key-%d", i), api.HeaderKeyCreated: time.Now().UTC().Format(time.RFC3339), api.HeaderTimeout: "200",
		})
		if full := status == http.StatusTooManyRequests && p.Reason == "too_many_keys"; full != (i >= 3) {
			t.Errorf("key %d: %d %+v", i, status, p)
		}
	}
}

// TestConnectionAndHeaderLimits checks that connections beyond the limit and headers that
// are too large are refused, and that the metric counts the connections.
func TestConnectionAndHeaderLimits(t *testing.T) {
	t.Parallel()
	const maxConnections = 8
	r := startNode(t, func(c *config.Config) {
		c.Limits.Connections = maxConnections
		c.Limits.HeaderBytes = 2048
	})
	resp, err := getWithHeader(t, r, strings.Repeat("h", 16<<10))
	if err != nil || resp != http.StatusRequestHeaderFieldsTooLarge {
		t.Errorf("large headers: %d, %v", resp, err)
	}
	var open []net.Conn
	refused := 0
	for range 3 * maxConnections {
		var d net.Dialer
		c, err := d.DialContext(t.Context(), "tcp", r.callers)
		if err != nil {
			t.Fatal(err)
		}
		open = append(open, c)
		_, _ = fmt.Fprintf(c, "GET /none HTTP/1.1\r\nHost: x\r\n\r\n")
		if _, err := c.Read(make([]byte, 1)); err != nil {
			refused++
		}
	}
	for _, c := range open {
		_ = c.Close()
	}
	if refused < 2*maxConnections {
		t.Errorf("%d of %d connections were refused", refused, 3*maxConnections)
	}
	if !slices.ContainsFunc(metricsOf(t, r), func(line string) bool {
		return strings.HasPrefix(line, `switchbank_connections_refused_total{listener="callers"}`) && !strings.HasSuffix(line, " 0")
	}) {
		t.Error("the metric does not count the refused connections")
	}
}

func getWithHeader(t *testing.T, r *testNode, header string) (int, error) {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+r.callers+"/v1/workloads", nil)
	if err != nil {
		return 0, err
	}
	req.Header.Set("X-Large", header)
	resp, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(req)
	if err != nil {
		return 0, err
	}
	return resp.StatusCode, resp.Body.Close()
}

func metricsOf(t *testing.T, r *testNode) []string {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+r.operators+"/metrics", nil)
	if err != nil {
		t.Fatal(err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	var buf bytes.Buffer
	if _, err := buf.ReadFrom(resp.Body); err != nil {
		t.Fatal(err)
	}
	return strings.Split(strings.TrimSpace(buf.String()), "\n")
}
