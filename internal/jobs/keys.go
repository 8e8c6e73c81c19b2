// SPDX-License-Identifier: Apache-2.0

package jobs

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"switchbank.example/switchbank/internal/api"
	"switchbank.example/switchbank/internal/peer"
)

// Intent records that a request with a key may now run once.
type Intent struct {
	ID     string `json:"id"`
	Token  string `json:"token"`
	Digest string `json:"digest"`
	// PendingUntil is when the outcome of a request that was not finished becomes unknown.
	PendingUntil time.Time `json:"until"`
	// RetainUntil is when the key may be deleted.
	RetainUntil time.Time `json:"keep"`
}

// KeyResult records the outcome of a request with a key.
type KeyResult struct {
	ID      string       `json:"id"`
	Token   string       `json:"token"`
	Outcome api.Outcome  `json:"outcome"`
	Answer  *peer.Answer `json:"answer,omitempty"`
}

// RequestKey is the state of a key, which identifies a request that must not run twice.
type RequestKey struct {
	Token        string    `json:"token"`
	Digest       string    `json:"digest"`
	PendingUntil time.Time `json:"until"`
	RetainUntil  time.Time `json:"keep"`
	// Outcome is empty while the request may be running.
	Outcome api.Outcome  `json:"outcome,omitempty"`
	Answer  *peer.Answer `json:"answer,omitempty"`
}

// applyIntent ignores an intent for a key that exists, unless its request did not run.
func (s *State) applyIntent(r *Intent) {
	if k, ok := s.Keys[r.ID]; ok && k.Outcome != api.OutcomeNotRun {
		return
	}
	s.Keys[r.ID] = &RequestKey{Token: r.Token, Digest: r.Digest, PendingUntil: r.PendingUntil, RetainUntil: r.RetainUntil}
}

// applyFinish ignores a result that comes from another arrival than the one that runs the
// request, or after a definite outcome.
func (s *State) applyFinish(r *KeyResult) {
	k, ok := s.Keys[r.ID]
	if !ok || k.Token != r.Token || (k.Outcome != "" && k.Outcome != api.OutcomeUnknown) {
		return
	}
	k.Outcome, k.Answer = r.Outcome, r.Answer
}

// KeyName returns the name under which the key of a team is stored.
func KeyName(team, key string) string { return team + "\x1f" + key }

// KeyBegin returns whether a request may run, or else the outcome of an earlier arrival
// with the same key. It waits while an earlier arrival may be running.
func (s *Set) KeyBegin(ctx context.Context, req peer.KeyBeginRequest) (peer.KeyReply, error) {
	sh, err := s.ownedShard("begin key", req.Shard)
	if err != nil {
		return peer.KeyReply{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, time.Duration(req.TimeoutMS)*time.Millisecond)
	defer cancel()
	for {
		reply, changed, err := sh.keyBegin(ctx, req)
		if err != nil || changed == nil {
			return reply, err
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return peer.KeyReply{State: peer.KeyUnknown}, nil
		}
	}
}

// keyBegin makes one attempt at KeyBegin. If it returns a channel, the caller must try
// again once the channel is closed.
func (sh *Shard) keyBegin(ctx context.Context, req peer.KeyBeginRequest) (peer.KeyReply, <-chan struct{}, error) {
	now := time.Now()
	id := KeyName(req.Team, req.Key)
	sh.mu.Lock()
	k, ok := sh.state.Keys[id]
	if ok && k.Outcome == "" && k.Token != req.Token && now.Before(k.PendingUntil) {
		changed := sh.changed
		sh.mu.Unlock()
		return peer.KeyReply{}, changed, nil
	}
	if !ok && len(sh.state.Keys) >= sh.opts.MaxKeys {
		sh.mu.Unlock()
		return peer.KeyReply{}, nil, &Error{"begin key", KindTooManyKeys, errors.Errorf("the shard keeps %d", sh.opts.MaxKeys)}
	}
	state, answer, rec := decideKey(k, req, now, sh.opts)
	err := sh.writeLocked(rec...)
	pending := sh.lastAppend
	sh.mu.Unlock()
	if err != nil {
		return peer.KeyReply{}, nil, err
	}
	if err := waitDurable(ctx, pending); err != nil {
		return peer.KeyReply{}, nil, err
	}
	return peer.KeyReply{State: state, Answer: answer}, nil, nil
}

// decideKey returns the reply to a request with a key, and the records that must be
// journalled before the reply is sent. k is nil if the key is new.
func decideKey(k *RequestKey, req peer.KeyBeginRequest, now time.Time, opts Options) (peer.KeyState, *peer.Answer, []Record) {
	id := KeyName(req.Team, req.Key)
	switch {
	case k != nil && k.Digest != req.Digest:
		return peer.KeyConflict, nil, nil
	case k == nil || k.Outcome == api.OutcomeNotRun:
		timeout := time.Duration(req.TimeoutMS) * time.Millisecond
		return peer.KeyRun, nil, []Record{{Intent: &Intent{
			ID: id, Token: req.Token, Digest: req.Digest,
			PendingUntil: now.Add(timeout + opts.KeyMargin), RetainUntil: req.Created.Add(opts.KeyWindow + opts.KeyMargin),
		}}}
	case k.Outcome == "" && k.Token == req.Token:
		return peer.KeyRun, nil, nil
	case k.Outcome == "":
		return peer.KeyUnknown, nil, []Record{{Finish: &KeyResult{ID: id, Token: k.Token, Outcome: api.OutcomeUnknown}}}
	case k.Outcome == api.OutcomeDone:
		return peer.KeyDone, k.Answer, nil
	default:
		return peer.KeyUnknown, nil, nil
	}
}

// KeyFinish journals the outcome of a request with a key. An answer that is too large is
// stored without its body.
func (s *Set) KeyFinish(ctx context.Context, req peer.KeyFinishRequest) (peer.KeyReply, error) {
	sh, err := s.ownedShard("finish key", req.Shard)
	if err != nil {
		return peer.KeyReply{}, err
	}
	answer := req.Answer
	if answer != nil && len(answer.Body) > s.opts.KeyAnswerBytes {
		answer = &peer.Answer{Status: answer.Status, ContentType: answer.ContentType, Dropped: true}
	}
	rec := Record{Finish: &KeyResult{
		ID: KeyName(req.Team, req.Key), Token: req.Token, Outcome: api.Outcome(req.Outcome), Answer: answer,
	}}
	sh.mu.Lock()
	err = sh.writeLocked(rec)
	pending := sh.lastAppend
	sh.mu.Unlock()
	if err != nil {
		return peer.KeyReply{}, err
	}
	return peer.KeyReply{State: peer.KeyDone}, waitDurable(ctx, pending)
}
