// SPDX-License-Identifier: Apache-2.0

package settings_test

import (
	"errors"
	"strings"
	"testing"

	"switchbank.example/switchbank/internal/settings"
)

const validSettings = `
node: n1
listen: {callers: "127.0.0.1:1", ready: "127.0.0.1:2", peers: "127.0.0.1:3"}
store: "127.0.0.1:4"
`

func TestDefaults(t *testing.T) {
	s, err := settings.Parse("node.yaml", []byte(validSettings))
	if err != nil {
		t.Fatal(err)
	}
	if s.Bounds.MaxLeaseMS != 10_000 || s.Bounds.GraceMS != 6000 || s.LogLevel != "info" {
		t.Errorf("%+v", s)
	}
}

// TestAdmissionDefaults guards against an admission section that resets the settings that it does
// not name, and against bounds that can't be turned off.
func TestAdmissionDefaults(t *testing.T) {
	for text, want := range map[string]settings.Admission{
		"":                              {Enabled: true, AcceptUntil: 3},
		"admission: {enabled: false}\n": {AcceptUntil: 3},
		"admission: {accept_until: 2, expect_until: 0, new_until: 0, max_waiting_s: 8}\n": {Enabled: true, AcceptUntil: 2, MaxWaitingS: 8},
	} {
		s, err := settings.Parse("node.yaml", []byte(validSettings+text))
		if err != nil || s.Admission != want {
			t.Errorf("%q: %+v, %v; want %+v", text, s.Admission, err, want)
		}
	}
}

// TestErrorsNameTheField checks that the error for an invalid value names its field.
func TestErrorsNameTheField(t *testing.T) {
	for _, c := range []struct{ text, field string }{
		{strings.Replace(validSettings, "node: n1", "", 1), "node"},
		{strings.Replace(validSettings, `callers: "127.0.0.1:1"`, `callers: "nowhere"`, 1), "listen.callers"},
		{strings.Replace(validSettings, `store: "127.0.0.1:4"`, "", 1), "store"},
		{validSettings + "bounds: {stop_ms: -1}\n", "bounds.stop_ms"},
		{validSettings + "limits: {memory_mb: -5}\n", "limits.memory_mb"},
		{validSettings + "limits: {cpu_share: -0.4}\n", "limits.cpu_share"},
		{strings.Replace(validSettings, `peers: "127.0.0.1:3"`, `peers: "127.0.0.1:3", peers_at: "nowhere"`, 1), "listen.peers_at"},
		{validSettings + "waiting_order: random\n", "waiting_order"},
		{validSettings + "workers_per_shard: -1\n", "workers_per_shard"},
		{validSettings + "workers_per_shard: 1501\n", "workers_per_shard"},
		{validSettings + "workers_per_shard: 300\nlimits: {cpu_share: 0.12}\n", "workers_per_shard"},
		{validSettings + "limits: {link_mbps: -2}\n", "limits.link_mbps"},
		{validSettings + "limits: {max_files: -1}\n", "limits.max_files"},
		{validSettings + "limits: {core_speed: -1}\n", "limits.core_speed"},
		{validSettings + "worker_orders: heartbeat\n", "worker_orders"},
		{validSettings + "admission: {accept_until: 0.9}\n", "admission.accept_until"},
		{validSettings + "admission: {accept_until: 0}\n", "admission.accept_until"},
		{validSettings + "admission: {accept_until: .nan}\n", "admission.accept_until"},
		{validSettings + "admission: {accept_until: 11}\n", "admission.accept_until"},
		{validSettings + "admission: {expect_until: 0.4}\n", "admission.expect_until"},
		{validSettings + "admission: {expect_until: -1}\n", "admission.expect_until"},
		{validSettings + "admission: {new_until: 10.5}\n", "admission.new_until"},
		{validSettings + "admission: {max_waiting_s: -1}\n", "admission.max_waiting_s"},
		{validSettings + "admission: {max_waiting_s: 4000}\n", "admission.max_waiting_s"},
	} {
		_, err := settings.Parse("node.yaml", []byte(c.text))
		var e *settings.Error
		if !errors.As(err, &e) || e.Field != c.field || e.Kind != settings.KindInvalid {
			t.Errorf("got %v, want the field %s", err, c.field)
		}
	}
}

func TestUnknownFieldsAndWrongTypes(t *testing.T) {
	for _, text := range []string{validSettings + "stor: x\n", validSettings + "seeds: 5\n", validSettings + "bounds: {stop_ms: fast}\n", "node: [\n"} {
		if _, err := settings.Parse("node.yaml", []byte(text)); err == nil || !strings.Contains(err.Error(), "node.yaml") {
			t.Errorf("%q: got %v, want an error that names the file", text, err)
		}
	}
}
