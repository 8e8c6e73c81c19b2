// SPDX-License-Identifier: Apache-2.0

package requests

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	"switchbank.example/switchbank/internal/api"
	"switchbank.example/switchbank/internal/peer"
)

// UpstreamOptions are the settings of an Upstream.
type UpstreamOptions struct {
	// AbandonedTimeout is how long a slot is held for an instance that still works on a
	// request which was given up.
	AbandonedTimeout time.Duration
	// SkipRequestIDCheck and AssumeNotRun switch safeguards off, to show that tests see it.
	SkipRequestIDCheck bool
	AssumeNotRun       bool
}

// Upstream sends requests to instances.
type Upstream struct {
	http *http.Client
	opts UpstreamOptions
}

// NewUpstream returns an Upstream.
func NewUpstream(c *http.Client, opts UpstreamOptions) *Upstream {
	return &Upstream{http: c, opts: opts}
}

// Send sends r to the slot's instance and gives the slot back when the instance
// is done with it. It returns at once when ctx ends, even if the instance is not.
func (u *Upstream) Send(ctx context.Context, slot *Slot, r *Request, maxBody int64) Result {
	ctx, span := tracer().Start(ctx, "upstream", trace.WithAttributes(attribute.String("address", slot.Address())))
	defer span.End()
	if ctx.Err() != nil {
		slot.Release()
		return notRun(KindDeadline, "the time was over before the request was sent")
	}
	work, stop := context.WithCancel(context.WithoutCancel(ctx))
	ended := make(chan Result, 1)
	var sent atomic.Bool
	go func() {
		defer slot.Release()
		defer stop()
		ended <- u.exchange(work, slot, r, maxBody, &sent)
	}()
	select {
	case res := <-ended:
		return res
	case <-ctx.Done():
	}
	time.AfterFunc(u.opts.AbandonedTimeout, stop)
	return unknown(KindDeadline, "the time was over while the upstream worked on the request")
}

// exchange makes one call of the upstream.
func (u *Upstream) exchange(ctx context.Context, slot *Slot, r *Request, maxBody int64, sent *atomic.Bool) Result {
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent.Store(true) }})
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+slot.Address()+"/", bytes.NewReader(r.Body))
	if err != nil {
		return notRun(KindUpstreamNotReached, err.Error())
	}
	// Without GetBody and without an idempotency header, net/http never sends the request a second time.
	req.GetBody = nil
	req.Header.Set("Content-Type", r.ContentType)
	req.Header.Set(api.HeaderRequestID, r.ID)
	req.Header.Set(api.HeaderTeam, r.Team)
	otel.GetTextMapPropagator().Inject(ctx, propagation.HeaderCarrier(req.Header))
	resp, err := u.http.Do(req)
	if err != nil {
		slot.MarkSuspect()
		if !sent.Load() || u.opts.AssumeNotRun {
			return notRun(KindUpstreamNotReached, err.Error())
		}
		return unknown(KindUpstreamFailed, err.Error())
	}
	defer func() { _ = resp.Body.Close() }()
	return u.answer(slot, r, resp, maxBody)
}

// answer reads the whole of the upstream's answer before any of it is passed on.
func (u *Upstream) answer(slot *Slot, r *Request, resp *http.Response, maxBody int64) Result {
	if resp.Header.Get(api.HeaderLeaving) != "" {
		slot.CloseInstance()
	}
	if resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get(api.HeaderNotRun) != "" {
		slot.MarkSuspect()
		return notRun(KindUpstreamDidNotRun, resp.Header.Get(api.HeaderNotRun))
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxBody+1))
	if err != nil {
		slot.MarkSuspect()
		return unknown(KindAnswerTruncated, err.Error())
	}
	if int64(len(body)) > maxBody {
		return unknown(KindAnswerTooLarge, fmt.Sprintf("the answer is larger than %d bytes", maxBody))
	}
	if id := resp.Header.Get(api.HeaderRequestID); id != "" && id != r.ID && !u.opts.SkipRequestIDCheck {
		slot.MarkSuspect()
		return unknown(KindAnswerMismatch, "the upstream answered request "+id)
	}
	return Result{Outcome: api.OutcomeDone, Answer: &peer.Answer{
		Status: resp.StatusCode, ContentType: resp.Header.Get("Content-Type"), Body: body,
	}}
}

func tracer() trace.Tracer { return otel.Tracer("switchbank/requests") }
