// SPDX-License-Identifier: Apache-2.0

package jobs

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"switchbank.example/switchbank/internal/api"
	"switchbank.example/switchbank/internal/peer"
)

// Intent is the leave to run a request once.
type Intent struct {
	ID     string `json:"id"`
	Token  string `json:"token"`
	Digest string `json:"digest"`
	// PendingUntil is when a request that has not been finished is taken for unknown.
	PendingUntil time.Time `json:"until"`
	// RetainUntil is when the key may be forgotten.
	RetainUntil time.Time `json:"keep"`
}

// KeyResult is how a request with a key ended.
type KeyResult struct {
	ID      string       `json:"id"`
	Token   string       `json:"token"`
	Outcome api.Outcome  `json:"outcome"`
	Answer  *peer.Answer `json:"answer,omitempty"`
}

// RequestKey is a request that must not be repeated.
type RequestKey struct {
	Token        string    `json:"token"`
	Digest       string    `json:"digest"`
	PendingUntil time.Time `json:"until"`
	RetainUntil  time.Time `json:"keep"`
	// Outcome is empty while the request may be running.
	Outcome api.Outcome  `json:"outcome,omitempty"`
	Answer  *peer.Answer `json:"answer,omitempty"`
}

func (s *State) applyIntent(r *Intent) {
	if k, ok := s.Keys[r.ID]; ok && k.Outcome != api.OutcomeNotRun {
		return
	}
	s.Keys[r.ID] = &RequestKey{Token: r.Token, Digest: r.Digest, PendingUntil: r.PendingUntil, RetainUntil: r.RetainUntil}
}

func (s *State) applyFinish(r *KeyResult) {
	k, ok := s.Keys[r.ID]
	if !ok || k.Token != r.Token || (k.Outcome != "" && k.Outcome != api.OutcomeUnknown) {
		return
	}
	k.Outcome, k.Answer = r.Outcome, r.Answer
}

// KeyName returns the name under which a team's key is kept.
func KeyName(team, key string) string { return team + "\x1f" + key }

// KeyBegin gives the leave to run a request, or tells how it ended; it waits
// while another arrival of the same key may be running.
func (s *Set) KeyBegin(ctx context.Context, req peer.KeyBegin) (peer.KeyReply, error) {
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

// keyBegin tries once; a channel is returned when the caller must wait for a change.
func (sh *Shard) keyBegin(ctx context.Context, req peer.KeyBegin) (peer.KeyReply, <-chan struct{}, error) {
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

// decideKey tells what an arrival of a key is answered, and what must be journalled first.
func decideKey(k *RequestKey, req peer.KeyBegin, now time.Time, opts Options) (peer.KeyState, *peer.Answer, []Record) {
	id := KeyName(req.Team, req.Key)
	switch {
	case k != nil && k.Digest != req.Digest:
		return peer.KeyClash, nil, nil
	case k == nil || k.Outcome == api.OutcomeNotRun:
		timeout := time.Duration(req.TimeoutMS) * time.Millisecond
		return peer.KeyGo, nil, []Record{{Intent: &Intent{
			ID: id, Token: req.Token, Digest: req.Digest,
			PendingUntil: now.Add(timeout + opts.KeyMargin), RetainUntil: req.Created.Add(opts.KeyWindow + opts.KeyMargin),
		}}}
	case k.Outcome == "" && k.Token == req.Token:
		return peer.KeyGo, nil, nil
	case k.Outcome == "":
		return peer.KeyUnknown, nil, []Record{{Finish: &KeyResult{ID: id, Token: k.Token, Outcome: api.OutcomeUnknown}}}
	case k.Outcome == api.OutcomeDone:
		return peer.KeyDone, k.Answer, nil
	default:
		return peer.KeyUnknown, nil, nil
	}
}

// KeyFinish journals how a request with a key ended.
func (s *Set) KeyFinish(ctx context.Context, req peer.KeyFinish) (peer.KeyReply, error) {
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
