package operator

import (
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

const sampleFile = `; plan nodes that speak NATS
(nats
  (listen "127.0.0.1:4222") ; for clients
  (cluster true)
  (move-within "3s")
  (session (class "sesion") (key user) (wait "1s"))
  (request (subject "plan.get.*") (class "plan-diario") (deadline "800ms") (key (token 2)))
  (request (subject "serie.>") (class "serie-hecha")))
`

var sampleClasses = []string{"sesion", "plan-diario", "serie-hecha"}

func TestParse(t *testing.T) {
	s, err := Parse("op.edn", []byte(sampleFile), sampleClasses)
	if err != nil {
		t.Fatal(err)
	}
	want := &Settings{NATS: &NATS{
		Listen: "127.0.0.1:4222", NodesForward: true,
		MaxPayload: 1 << 20, ControlLine: 4096, MaxSubscriptions: 1000, MaxRequests: 1024, MaxPending: 64 << 10, MaxSharedConns: 64,
		PingInterval: time.Second, ClientPingInterval: 30 * time.Second,
		MigrationTimeout: 3 * time.Second, FlushTimeout: 2 * time.Second,
		Session: Session{Class: "sesion", Key: KeySource{Kind: "user"}, Timeout: time.Second},
		Requests: []RequestClass{
			{
				Subject: "plan.get.*", Class: "plan-diario", Timeout: 800 * time.Millisecond,
				Key: KeySource{Kind: "token", Token: 2}, Line: 7,
			},
			{Subject: "serie.>", Class: "serie-hecha", Timeout: time.Second, Key: KeySource{Kind: "session"}, Line: 8},
		},
	}}
	if diff := cmp.Diff(want, s); diff != "" {
		t.Errorf("settings (-want +got):\n%s", diff)
	}
}

func TestEmptyFileEnablesNothing(t *testing.T) {
	s, err := Parse("op.edn", []byte("; nothing\n"), nil)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(&Settings{}, s); diff != "" {
		t.Errorf("settings (-want +got):\n%s", diff)
	}
}

// Each error names the file, the line and the key.
func TestParseErrors(t *testing.T) {
	for name, c := range map[string]struct{ from, to, want string }{
		"not a boolean": {`(cluster true)`, `(cluster 1)`, `op.edn:4: nats.cluster: 1 is not true or false`},
		"unknown key":   {`(cluster true)`, `(clutter true)`, `op.edn:4: nats.clutter: is no known key`},
		"repeated key": {
			`(cluster true)`, `(cluster true) (cluster true)`,
			`op.edn:4: nats.cluster: is given twice, first on line 4`,
		},
		"out of bounds":     {`(cluster true)`, `(max-payload 0)`, `op.edn:4: nats.max-payload: 0 is not within 1 and 67108864`},
		"two values":        {`(cluster true)`, `(cluster true false)`, `op.edn:4: nats.cluster: has 2 values and wants one`},
		"not a list":        {`(cluster true)`, `cluster`, `op.edn:4: nats: cluster is not (key value)`},
		"not a duration":    {`"3s"`, `3`, `op.edn:5: nats.move-within: 3 is not a time such as "250ms"`},
		"too long duration": {`"3s"`, `"3h"`, `op.edn:5: nats.move-within: 3h0m0s is not within 100ms and 1m0s`},
		"unknown class": {
			`(class "plan-diario")`, `(class "nada")`,
			`op.edn:7: nats.request.class: "nada" is no class of the settings`,
		},
		"not a token": {`(token 2)`, `(token x)`, `op.edn:7: nats.request.key: a list is none of [session user token]`},
		"repeated subject": {
			`"serie.>"`, `"plan.get.*"`,
			`op.edn:8: nats.request.subject: "plan.get.*" is given twice, first on line 7`,
		},
		"not an address":      {`"127.0.0.1:4222"`, `"here"`, `op.edn:2: nats.listen: "here" is not IP:port`},
		"missing address":     {`(listen "127.0.0.1:4222") ; for clients`, `; no address`, `op.edn:2: nats.listen: is missing`},
		"unknown section":     {`(nats`, `(gnats`, `op.edn:2: gnats: is no known key`},
		"missing parenthesis": {`(cluster true)`, `(cluster true`, `op.edn:2: is no S-expression`},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := Parse("op.edn", change{c.from, c.to}.applyTo(t, sampleFile), sampleClasses)
			if err == nil || !strings.Contains(err.Error(), c.want) {
				t.Errorf("Parse: %v, want an error that contains %q", err, c.want)
			}
		})
	}
}

func TestAllErrorsAreReportedAtOnce(t *testing.T) {
	text := strings.NewReplacer("true", "1", `"3s"`, "3", "(token 2)", "(token x)").Replace(sampleFile)
	_, err := Parse("op.edn", []byte(text), sampleClasses)
	var fileErr FileError
	if !errors.As(err, &fileErr) || strings.Count(err.Error(), "op.edn:") != 3 {
		t.Errorf("Parse: %v, want three FileErrors", err)
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(sampleFile))
	f.Add([]byte("(nats (listen 1)) #{1} [a] \"x"))
	f.Add([]byte("()(()) ; c"))
	f.Add([]byte("(\"\xa2\"0)"))
	f.Fuzz(func(t *testing.T, b []byte) {
		if s, err := Parse("f", b, nil); err == nil && s == nil {
			t.Fatal("Parse returned neither settings nor an error")
		}
	})
}
