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
	// AbandonedTimeout is how long a slot stays in use while its instance still works on a
	// request whose deadline has passed.
	AbandonedTimeout time.Duration
	// SkipRequestIDCheck and AssumeNotRun disable safeguards: the comparison of an answer's
	// request ID, and the unknown outcome of a call that broke off. Tests set them to verify
	// that they detect the missing safeguard.
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

// Send sends r to the slot's instance and releases the slot when the call has ended. When
// ctx ends, Send returns immediately, and the call goes on for up to AbandonedTimeout.
func (u *Upstream) Send(ctx context.Context, slot *Slot, r *Request, maxBody int64) Result {
	ctx, span := tracer().Start(ctx, "upstream", trace.WithAttributes(attribute.String("address", slot.Address())))
	defer span.End()
	if ctx.Err() != nil {
		slot.Release()
		return notRun(KindDeadline, "the time was over before the request was sent")
	}
	callCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	results := make(chan Result, 1)
	var sent atomic.Bool
	go func() {
		defer slot.Release()
		defer stop()
		results <- u.call(callCtx, slot, r, maxBody, &sent)
	}()
	select {
	case res := <-results:
		return res
	case <-ctx.Done():
	}
	time.AfterFunc(u.opts.AbandonedTimeout, stop)
	return unknown(KindDeadline, "the time was over while the upstream worked on the request")
}

// call sends the request once and classifies the result. It sets sent as soon as it has a
// connection: from then on, a failed call may have run on the upstream.
func (u *Upstream) call(ctx context.Context, slot *Slot, r *Request, maxBody int64, sent *atomic.Bool) Result {
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent.Store(true) }})
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+slot.Address()+"/", bytes.NewReader(r.Body))
	if err != nil {
		return notRun(KindUpstreamNotReached, err.Error())
	}
	// Without GetBody and an idempotency header, net/http never sends the request again by itself.
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
	return u.readAnswer(slot, r, resp, maxBody)
}

// readAnswer reads the upstream's answer completely, so that a truncated or oversized one
// is detected before any part reaches the caller.
func (u *Upstream) readAnswer(slot *Slot, r *Request, resp *http.Response, maxBody int64) Result {
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
