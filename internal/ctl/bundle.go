// SPDX-License-Identifier: Apache-2.0

package ctl

import (
	"crypto/ed25519"
	"crypto/rand"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"github.com/pkg/errors"

	"switchbank.example/switchbank/internal/bundle"
	"switchbank.example/switchbank/internal/client"
)

const keyFileMode = 0o600

type bundleCmd struct {
	Keygen  keygenCmd        `cmd:"" help:"Make a reviewer's key."`
	Check   bundleCheckCmd   `cmd:"" help:"Check a directory of YAML files."`
	Sign    bundleSignCmd    `cmd:"" help:"Sign a bundle off."`
	Diff    bundleDiffCmd    `cmd:"" help:"Compare a bundle with the one in force."`
	Propose bundleProposeCmd `cmd:"" help:"Put a signed bundle up for the nodes to stage."`
	Accept  bundleAcceptCmd  `cmd:"" help:"Put a proposed bundle in force."`
	Status  bundleStatusCmd  `cmd:"" help:"Tell what is in force, what waits, and on whom."`
	History bundleHistoryCmd `cmd:"" help:"List the accepted bundles."`
}

// KeyReply is a reviewer's public key.
type KeyReply struct {
	Public string `json:"public"`
}

type keygenCmd struct {
	File string `arg:"" help:"Where to write the private key."`
}

// Run generates a key pair; it never overwrites a file.
func (c keygenCmd) Run(env *Env) error {
	pub, key, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		return err
	}
	f, err := os.OpenFile(c.File, os.O_WRONLY|os.O_CREATE|os.O_EXCL, keyFileMode)
	if err != nil {
		return err
	}
	if _, err := fmt.Fprintln(f, base64.StdEncoding.EncodeToString(key.Seed())); err != nil {
		return err
	}
	if err := f.Close(); err != nil {
		return err
	}
	reply := KeyReply{Public: base64.StdEncoding.EncodeToString(pub)}
	return env.print(reply, func(w io.Writer) { writef(w, "%s", reply.Public) })
}

// CheckReply describes a valid bundle.
type CheckReply struct {
	Digest   string `json:"digest"`
	Teams    int    `json:"teams"`
	Classes  int    `json:"classes"`
	Services int    `json:"services"`
}

type bundleCheckCmd struct {
	Dir string `arg:"" help:"The directory."`
}

// Run checks a bundle.
func (c bundleCheckCmd) Run(env *Env) error {
	b, err := bundle.Load(c.Dir)
	if err != nil {
		return err
	}
	reply := CheckReply{Digest: b.Digest(), Teams: len(b.Teams), Classes: len(b.Classes), Services: len(b.Services)}
	return env.print(reply, func(w io.Writer) {
		writef(w, "%s: good: %d teams, %d classes, %d services", c.Dir, reply.Teams, reply.Classes, reply.Services)
		writef(w, "digest %s", reply.Digest)
	})
}

type bundleSignCmd struct {
	Dir      string `arg:"" help:"The directory."`
	Reviewer string `required:"" help:"The reviewer's name."`
	Key      string `required:"" help:"The file with the reviewer's private key."`
}

// Run writes a signature of the bundle as JSON.
func (c bundleSignCmd) Run(env *Env) error {
	b, err := bundle.Load(c.Dir)
	if err != nil {
		return err
	}
	seed, err := os.ReadFile(c.Key)
	if err != nil {
		return err
	}
	key, err := bundle.ParsePrivateKey(strings.TrimSpace(string(seed)))
	if err != nil {
		return err
	}
	return json.NewEncoder(env.Out).Encode(bundle.Sign(b.Digest(), c.Reviewer, key))
}

type bundleDiffCmd struct {
	Dir string `arg:"" help:"The directory."`
}

// Run compares a bundle with the one in force.
func (c bundleDiffCmd) Run(env *Env) error {
	proposed, err := bundle.Load(c.Dir)
	if err != nil {
		return err
	}
	st, err := env.client().Bundle(env.ctx)
	if err != nil {
		return err
	}
	changes := bundle.Diff(st.Bundle, proposed)
	return env.print(changes, func(w io.Writer) {
		for _, change := range changes {
			writef(w, "%s %s", change.Op, change.Description)
		}
		if len(changes) == 0 {
			writef(w, "no difference to version %d", st.Head.Version)
		}
	})
}

type bundleProposeCmd struct {
	Dir        string   `arg:"" help:"The directory."`
	Change     string   `required:"" help:"The id of the change, as that of its review."`
	Operator   string   `required:"" env:"USER" help:"Who proposes it."`
	Signatures []string `name:"signature" help:"Files with signatures, as written by bundle sign."`
	Accept     bool     `help:"Accept it as soon as every live node has staged it."`
}

// Run proposes a bundle on top of the one in force.
func (c bundleProposeCmd) Run(env *Env) error {
	b, err := bundle.Load(c.Dir)
	if err != nil {
		return err
	}
	sigs, err := readSignatures(c.Signatures)
	if err != nil {
		return err
	}
	cl := env.client()
	st, err := cl.Bundle(env.ctx)
	if err != nil {
		return err
	}
	p, err := cl.Propose(env.ctx, b, bundle.Proposal{
		Base: st.Head.Version, Change: c.Change, Operator: c.Operator, Signatures: sigs, Proposed: time.Now().UTC(),
	})
	if err != nil {
		return err
	}
	if c.Accept {
		return accept(env, cl, c.Change, true)
	}
	return env.print(p, func(w io.Writer) { writef(w, "proposed version %d: %s", p.Version(), p.Digest) })
}

func readSignatures(files []string) ([]bundle.Signature, error) {
	sigs := make([]bundle.Signature, len(files))
	for i, f := range files {
		data, err := os.ReadFile(f)
		if err != nil {
			return nil, err
		}
		if err := json.Unmarshal(data, &sigs[i]); err != nil {
			return nil, errors.Wrap(err, f)
		}
	}
	return sigs, nil
}

type bundleAcceptCmd struct {
	Change string `arg:"" help:"The id of the change."`
	Wait   bool   `help:"Wait until every live node has staged it, and then until it is in force on all."`
}

// Run accepts a proposal.
func (c bundleAcceptCmd) Run(env *Env) error { return accept(env, env.client(), c.Change, c.Wait) }

func accept(env *Env, cl *client.Client, change string, wait bool) error {
	acceptChange := cl.Accept
	if wait {
		acceptChange = cl.AcceptWhenStaged
	}
	head, err := acceptChange(env.ctx, change)
	if err != nil {
		return err
	}
	if wait {
		if err := waitInForce(env, cl, head.Version); err != nil {
			return err
		}
	}
	return env.print(head, func(w io.Writer) { writef(w, "accepted version %d: %s", head.Version, head.Digest) })
}

// waitInForce waits until every live node applies a version, and names those that do not yet.
func waitInForce(env *Env, cl *client.Client, version int64) error {
	const pollInterval = 200 * time.Millisecond
	for {
		st, err := cl.Bundle(env.ctx)
		if err != nil {
			return err
		}
		var behind []string
		for _, n := range st.Nodes {
			if n.InForce < version {
				behind = append(behind, n.Node)
			}
		}
		if len(behind) == 0 {
			return nil
		}
		writef(env.Err, "not in force yet on %s", strings.Join(behind, ", "))
		select {
		case <-env.ctx.Done():
			return env.ctx.Err()
		case <-time.After(pollInterval):
		}
	}
}

type bundleStatusCmd struct{}

// Run prints the bundle in force, the pending proposal, and the nodes that have not staged it.
func (bundleStatusCmd) Run(env *Env) error {
	st, err := env.client().Bundle(env.ctx)
	if err != nil {
		return err
	}
	return env.print(st, func(w io.Writer) {
		writef(w, "in force: version %d, change %s by %s", st.Head.Version, st.Head.Change, st.Head.Operator)
		if st.Proposal != nil {
			writef(w, "proposed: version %d, change %s by %s", st.Proposal.Version(), st.Proposal.Change, st.Proposal.Operator)
		}
		if len(st.Waiting) > 0 {
			writef(w, "not staged yet on %s", strings.Join(st.Waiting, ", "))
		}
		for _, n := range st.Nodes {
			writef(w, "  node %s applies version %d", n.Node, n.InForce)
		}
	})
}

type bundleHistoryCmd struct{}

// Run lists the accepted bundles.
func (bundleHistoryCmd) Run(env *Env) error {
	h, err := env.client().History(env.ctx)
	if err != nil {
		return err
	}
	return env.print(h, func(w io.Writer) {
		for _, head := range h.Heads {
			writef(w, "%d %s %s by %s: %s", head.Version, head.Accepted.Format(time.RFC3339), head.Change, head.Operator, head.Digest)
		}
	})
}
