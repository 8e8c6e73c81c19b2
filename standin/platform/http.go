// SPDX-License-Identifier: Apache-2.0

package platform

import (
	"context"
	"io"
	"net/http"

	"github.com/pkg/errors"

	"switchbank.example/switchbank/internal/httpx"
	"switchbank.example/switchbank/internal/platform"
)

const maxBodyBytes = 64 << 20

// Handler returns the platform's HTTP API, and the endpoints for tests under /standin/.
func (p *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("POST /v1/table/commit", httpx.Handle(maxBodyBytes, p.Commit))
	mux.HandleFunc("GET /v1/table/row", p.serveGet)
	mux.HandleFunc("GET /v1/table/rows", p.serveList)
	mux.HandleFunc("GET /v1/hosts", p.serveHosts)
	mux.HandleFunc("GET /v1/objects/{key}", p.serveGetObject)
	mux.HandleFunc("PUT /v1/objects/{key}", p.servePutObject)
	mux.HandleFunc("DELETE /v1/objects/{key}", p.serveDeleteObject)
	mux.Handle("POST /standin/v1/faults", httpx.Handle(maxBodyBytes, p.serveFaults))
	mux.Handle("POST /standin/v1/hosts", httpx.Handle(maxBodyBytes, p.serveSetHost))
	mux.Handle("GET /standin/v1/counts", httpx.Handle(maxBodyBytes, p.serveCounts))
	return mux
}

func (p *Platform) serveGet(w http.ResponseWriter, r *http.Request) {
	row, err := p.Get(r.Context(), r.FormValue("table"), r.FormValue("key"))
	writeReply(w, row, err)
}

func (p *Platform) serveList(w http.ResponseWriter, r *http.Request) {
	rows, err := p.List(r.Context(), r.FormValue("table"), r.FormValue("prefix"))
	writeReply(w, platform.Rows{Rows: rows}, err)
}

func (p *Platform) serveHosts(w http.ResponseWriter, r *http.Request) {
	hosts, err := p.Hosts(r.Context(), r.FormValue("data_centre"))
	writeReply(w, platform.Hosts{Hosts: hosts}, err)
}

func (p *Platform) serveGetObject(w http.ResponseWriter, r *http.Request) {
	data, err := p.GetObject(r.Context(), r.PathValue("key"))
	var perr *platform.Error
	if errors.As(err, &perr) {
		httpx.WriteError(w, httpx.NewProblem(http.StatusNotFound, "not_found", err.Error()))
		return
	}
	if err != nil {
		httpx.WriteError(w, err)
		return
	}
	_, _ = w.Write(data)
}

func (p *Platform) servePutObject(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err == nil {
		err = p.PutObject(r.Context(), r.PathValue("key"), data)
	}
	writeReply(w, httpx.Empty{}, err)
}

func (p *Platform) serveDeleteObject(w http.ResponseWriter, r *http.Request) {
	writeReply(w, httpx.Empty{}, p.DeleteObject(r.Context(), r.PathValue("key")))
}

func (p *Platform) serveFaults(_ context.Context, f Faults) (httpx.Empty, error) {
	p.SetFaults(f)
	return httpx.Empty{}, nil
}

func (p *Platform) serveSetHost(_ context.Context, h platform.Host) (httpx.Empty, error) {
	p.SetHost(h)
	return httpx.Empty{}, nil
}

func (p *Platform) serveCounts(context.Context, httpx.Empty) (Counts, error) {
	return p.Counts(), nil
}

func writeReply(w http.ResponseWriter, v any, err error) {
	if err != nil {
		httpx.WriteError(w, err)
		return
	}
	httpx.WriteJSON(w, http.StatusOK, v)
}
