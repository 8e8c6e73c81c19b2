// SPDX-License-Identifier: Apache-2.0

package node

import (
	"cmp"
	"context"
	"crypto/rand"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/propagation"
	"golang.org/x/sync/errgroup"

	"switchbank.example/switchbank/internal/api"
	"switchbank.example/switchbank/internal/httpx"
	"switchbank.example/switchbank/internal/peer"
	"switchbank.example/switchbank/internal/requests"
	"switchbank.example/switchbank/internal/team"
)

const (
	// maxWorkloadBytes bounds the body of a workload.
	maxWorkloadBytes = 256 << 10
	maxKeyLength     = 128
	maxWatchTime     = 30 * time.Second
	listTimeout      = 5 * time.Second
)

// Route is a route of the callers' API.
type Route struct {
	Method string
	Path   string
}

// CallerRoutes returns the routes of the callers' API, so that a test can compare
// them with docs/openapi.yaml.
func CallerRoutes() []Route {
	var routes []Route
	for _, r := range (&Node{}).callerHandlers() {
		routes = append(routes, r.Route)
	}
	return routes
}

type callerHandler struct {
	Route
	serve http.HandlerFunc
}

func (n *Node) callerHandlers() []callerHandler {
	return []callerHandler{
		{Route{http.MethodPost, "/v1/services/{service}/requests"}, n.serveRequest},
		{Route{http.MethodPost, "/v1/workloads"}, n.serveCreate},
		{Route{http.MethodGet, "/v1/workloads"}, n.serveList},
		{Route{http.MethodGet, "/v1/workloads/{id}"}, n.serveGet},
		{Route{http.MethodDelete, "/v1/workloads/{id}"}, n.serveCancel},
	}
}

func (n *Node) callerRoutes() http.Handler {
	mux := http.NewServeMux()
	for _, r := range n.callerHandlers() {
		mux.HandleFunc(r.Method+" "+r.Path, r.serve)
	}
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		httpx.WriteError(w, httpx.NewProblem(http.StatusNotFound, "no_route", r.Method+" "+r.URL.Path))
	})
	return n.limitCallers(mux)
}

// limitCallers bounds the requests in flight, and refuses all requests while the
// bundle in force is not confirmed.
func (n *Node) limitCallers(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		select {
		case n.inFlight <- struct{}{}:
			defer func() { <-n.inFlight }()
		default:
			n.refuseCaller(w, "node_busy", "the node works on as many requests as it may")
			return
		}
		if !n.follower.isFresh() {
			n.refuseCaller(w, "bundle_stale", "the node must read the bundle in force first")
			return
		}
		h.ServeHTTP(w, r)
	})
}

func (n *Node) refuseCaller(w http.ResponseWriter, reason, detail string) {
	n.counters.refused(reason)
	httpx.WriteError(w, httpx.NewProblem(http.StatusServiceUnavailable, reason, detail).
		RetryAfter(retryAfter).WithOutcome(string(api.OutcomeRefused)))
}

// team returns the team that sent a request, authenticated by its token.
func (n *Node) team(r *http.Request) (team.Team, error) {
	name := r.Header.Get(api.HeaderTeam)
	t, ok := n.bundle().Team(name)
	if !ok {
		p := httpx.NewProblem(http.StatusForbidden, "team_not_known", "the bundle in force has no such team")
		p.Problem.Field = api.HeaderTeam
		return t, p.WithOutcome(string(api.OutcomeRefused))
	}
	if !tokenValid(t.TokenSHA256, r) {
		p := httpx.NewProblem(http.StatusUnauthorized, "token_not_valid", "the bearer token is not one of the team's")
		return t, p.WithOutcome(string(api.OutcomeRefused))
	}
	return t, nil
}

// tokenValid reports whether the digest of the request's bearer token is one of
// digests, or digests is empty.
func tokenValid(digests []string, r *http.Request) bool {
	return len(digests) == 0 || team.AnyDigestOf(digests, strings.TrimPrefix(r.Header.Get("Authorization"), "Bearer "))
}

func (n *Node) serveRequest(w http.ResponseWriter, r *http.Request) {
	start := time.Now()
	req, err := n.readRequest(w, r)
	if err != nil {
		n.counters.refused(httpx.Reason(err))
		httpx.WriteError(w, err)
		return
	}
	ctx := otel.GetTextMapPropagator().Extract(r.Context(), propagation.HeaderCarrier(r.Header))
	ctx, cancel := context.WithTimeout(ctx, time.Duration(req.TimeoutMS)*time.Millisecond)
	defer cancel()
	res := n.entry.Do(ctx, req)
	n.counters.request(res, time.Since(start))
	w.Header().Set(api.HeaderRequestID, req.ID)
	w.Header().Set(api.HeaderOutcome, string(res.Outcome))
	if res.Outcome != api.OutcomeDone {
		httpx.WriteError(w, resultProblem(res))
		return
	}
	if res.Answer.ContentType != "" {
		w.Header().Set("Content-Type", res.Answer.ContentType)
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(res.Answer.Body)))
	w.WriteHeader(res.Answer.Status)
	_, _ = w.Write(res.Answer.Body)
}

// resultProblem returns the problem document for a request that was not done.
func resultProblem(res requests.Result) error {
	status := http.StatusServiceUnavailable
	switch {
	case res.Reason == requests.KindTeamQueueFull || res.Reason == requests.KindQueueFull || res.Reason == requests.KindTooManyKeys:
		status = http.StatusTooManyRequests
	case res.Reason == requests.KindKeyReused || res.Reason == requests.KindKeyOutcomeUnknown || res.Reason == requests.KindKeyTooOld:
		status = http.StatusConflict
	case res.Reason == requests.KindDeadline:
		status = http.StatusGatewayTimeout
	case res.Outcome == api.OutcomeUnknown:
		status = http.StatusBadGateway
	}
	p := httpx.NewProblem(status, string(res.Reason), res.Detail).WithOutcome(string(res.Outcome))
	p.Problem.RetryAfterMS = res.RetryAfterMS
	return p
}

// readRequest reads and validates a caller's request.
func (n *Node) readRequest(w http.ResponseWriter, r *http.Request) (requests.Request, error) {
	t, err := n.team(r)
	if err != nil {
		return requests.Request{}, err
	}
	limits := n.bundle().Limits
	req := requests.Request{
		ID: rand.Text(), Service: r.PathValue("service"), Team: t.Name,
		ContentType: cmp.Or(r.Header.Get("Content-Type"), "application/octet-stream"),
	}
	if !api.ValidName(req.Service) {
		return req, headerProblem("service", "want the name of a service")
	}
	if req.TimeoutMS, err = parseTimeout(r, limits.TimeoutMS); err != nil {
		return req, err
	}
	if err := readKeyHeaders(r, &req, n.cfg.Requests.KeyMargin); err != nil {
		return req, err
	}
	req.Body, err = io.ReadAll(http.MaxBytesReader(w, r.Body, limits.BodyBytes))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return req, httpx.NewProblem(http.StatusRequestEntityTooLarge, "body_too_large",
			"the body is larger than "+strconv.FormatInt(limits.BodyBytes, 10)+" bytes").WithOutcome(string(api.OutcomeRefused))
	}
	if err != nil {
		return req, httpx.NewProblem(http.StatusBadRequest, "body_unreadable", err.Error()).WithOutcome(string(api.OutcomeRefused))
	}
	return req, nil
}

func headerProblem(field, detail string) error {
	return httpx.FieldProblem(field, detail).WithOutcome(string(api.OutcomeRefused))
}

func parseTimeout(r *http.Request, maxMS int64) (int64, error) {
	s := r.Header.Get(api.HeaderTimeout)
	if s == "" {
		return maxMS, nil
	}
	ms, err := strconv.ParseInt(s, 10, 64)
	if err != nil || ms < 1 || ms > maxMS {
		return 0, headerProblem(api.HeaderTimeout, "want milliseconds, 1 to "+strconv.FormatInt(maxMS, 10))
	}
	return ms, nil
}

// readKeyHeaders reads the headers that say whether a request may be repeated. A
// key's creation time may be at most maxSkew in the future.
func readKeyHeaders(r *http.Request, req *requests.Request, maxSkew time.Duration) error {
	switch v := r.Header.Get(api.HeaderRepeatable); v {
	case "", "false":
	case "true":
		req.Repeatable = true
	default:
		return headerProblem(api.HeaderRepeatable, "want true or false")
	}
	req.Key = r.Header.Get(api.HeaderKey)
	if req.Key == "" {
		return nil
	}
	if req.Repeatable {
		return headerProblem(api.HeaderRepeatable, "a request with a key must not be repeated")
	}
	if len(req.Key) > maxKeyLength || strings.ContainsFunc(req.Key, func(c rune) bool { return c < '!' || c > '~' }) {
		return headerProblem(api.HeaderKey, "want 1 to 128 printable ASCII characters")
	}
	created, err := time.Parse(time.RFC3339, r.Header.Get(api.HeaderKeyCreated))
	if err != nil || time.Until(created) > maxSkew {
		return headerProblem(api.HeaderKeyCreated, "want when the key was made, as 2006-01-02T15:04:05Z, not in the future")
	}
	req.KeyCreated = created
	return nil
}

func (n *Node) serveCreate(w http.ResponseWriter, r *http.Request) {
	t, err := n.team(r)
	var wl api.Workload
	if err == nil {
		err = httpx.Decode(w, r, maxWorkloadBytes, &wl)
	}
	if err == nil {
		err = n.checkWorkload(t, wl)
	}
	var st api.Status
	if err == nil {
		key := n.jobKey(wl.ID)
		req := CreateRequest{Shard: string(key), Workload: wl.WithDefaults()}
		st, err = callOwnerRetrying(r.Context(), n, key, peer.PathJobCreate, req, n.createLocal)
	}
	n.writeReply(w, http.StatusCreated, st, err)
}

func (n *Node) writeReply(w http.ResponseWriter, status int, v any, err error) {
	if err != nil {
		err = problem(err)
		n.counters.refused(httpx.Reason(err))
		httpx.WriteError(w, err)
		return
	}
	httpx.WriteJSON(w, status, v)
}

// checkWorkload returns an error for a workload that can never run, so that it is
// refused before it is journalled.
func (n *Node) checkWorkload(t team.Team, wl api.Workload) error {
	if err := wl.Check(); err != nil {
		return err
	}
	if wl.Team != t.Name {
		return httpx.FieldProblem("team", "is not the team that sends the workload")
	}
	if _, ok := n.bundle().Class(wl.Class); !ok {
		return httpx.FieldProblem("class", "the bundle in force has no such class")
	}
	if !wl.Deadline.IsZero() && time.Now().After(wl.Deadline) {
		return httpx.FieldProblem("deadline", "is over")
	}
	if exceedsTeamLimit(wl, t) {
		return httpx.FieldProblem("size", "is above the limit of team "+t.Name)
	}
	return n.checkWorkerSize(wl)
}

// exceedsTeamLimit reports whether a workload needs more at once than the limit of
// its team allows.
func exceedsTeamLimit(wl api.Workload, t team.Team) bool {
	need := wl.Size
	if wl.Kind == api.KindAllAtOnce {
		need = wl.Size.Times(int64(wl.Tasks))
	}
	return need.Exceeds(t.Limit)
}

// checkWorkerSize returns an error if no known worker of the cell is large enough for
// a task of the workload.
func (n *Node) checkWorkerSize(wl api.Workload) error {
	known := false
	fitting := int64(0)
	for _, p := range n.load.Pools() {
		for _, shape := range p.Shapes {
			known = true
			if shape.Fits(wl.Size) {
				fitting++
			}
		}
	}
	if known && fitting == 0 {
		return httpx.FieldProblem("size", "no worker of the cell has as much")
	}
	return nil
}

func (n *Node) serveGet(w http.ResponseWriter, r *http.Request) {
	t, err := n.team(r)
	ref := JobRef{ID: r.PathValue("id"), Tasks: r.FormValue("tasks") == "true"}
	if err == nil {
		err = readWatchParams(r, &ref)
	}
	var st api.Status
	if err == nil {
		st, err = n.getForTeam(r.Context(), t, ref)
	}
	n.writeReply(w, http.StatusOK, st, err)
}

// readWatchParams reads since and wait_ms, with which a caller waits for a change
// of a workload.
func readWatchParams(r *http.Request, ref *JobRef) error {
	if s := r.FormValue("since"); s != "" {
		since, err := strconv.ParseInt(s, 10, 64)
		if err != nil || since < 0 {
			return httpx.FieldProblem("since", "want a revision, 0 or more")
		}
		ref.Since, ref.WaitMS = since, maxWatchTime.Milliseconds()
	}
	if s := r.FormValue("wait_ms"); s != "" {
		ms, err := strconv.ParseInt(s, 10, 64)
		if err != nil || ms < 1 || ms > maxWatchTime.Milliseconds() {
			return httpx.FieldProblem("wait_ms", "want 1 to 30000 milliseconds")
		}
		ref.WaitMS = ms
	}
	return nil
}

// getForTeam returns a workload of a team. A workload of another team is reported as
// not found, so that teams cannot learn of each other's workloads.
func (n *Node) getForTeam(ctx context.Context, t team.Team, ref JobRef) (api.Status, error) {
	key := n.jobKey(ref.ID)
	ref.Shard = string(key)
	st, err := callOwnerRetrying(ctx, n, key, peer.PathJobGet, ref, n.getLocal)
	if err == nil && st.Workload.Team != t.Name {
		return api.Status{}, httpx.NewProblem(http.StatusNotFound, "not_found", "there is no such workload")
	}
	return st, err
}

func (n *Node) serveCancel(w http.ResponseWriter, r *http.Request) {
	t, err := n.team(r)
	ref := JobRef{ID: r.PathValue("id")}
	var st api.Status
	if err == nil {
		st, err = n.getForTeam(r.Context(), t, ref)
	}
	if err == nil {
		key := n.jobKey(ref.ID)
		ref.Shard = string(key)
		st, err = callOwnerRetrying(r.Context(), n, key, peer.PathJobCancel, ref, n.cancelLocal)
	}
	n.writeReply(w, http.StatusOK, st, err)
}

func (n *Node) serveList(w http.ResponseWriter, r *http.Request) {
	t, err := n.team(r)
	if err != nil {
		n.writeReply(w, http.StatusOK, nil, err)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), listTimeout)
	defer cancel()
	n.writeReply(w, http.StatusOK, n.listAllNodes(ctx, t.Name), nil)
}

// listAllNodes asks every node for the workloads of a team. The list is partial if a
// node did not answer.
func (n *Node) listAllNodes(ctx context.Context, team string) api.StatusList {
	nodes := n.lease.OtherNodes()
	parts := make([]api.StatusList, len(nodes)+1)
	parts[len(nodes)].Workloads = n.jobs.List(team)
	var g errgroup.Group
	g.SetLimit(maxConcurrentExchanges)
	for i, node := range nodes {
		g.Go(func() error {
			list, err := httpx.Call[ListRequest, api.StatusList](ctx, n.peerHTTP, "http://"+node.PeerAddress+peer.PathJobList, ListRequest{Team: team})
			parts[i] = list
			parts[i].Partial = err != nil
			return nil
		})
	}
	_ = g.Wait()
	all := api.StatusList{Workloads: []api.Status{}}
	for _, p := range parts {
		all.Workloads = append(all.Workloads, p.Workloads...)
		all.Partial = all.Partial || p.Partial
	}
	slices.SortFunc(all.Workloads, func(a, b api.Status) int { return strings.Compare(a.Workload.ID, b.Workload.ID) })
	return all
}
