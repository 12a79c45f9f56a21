package operator

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

const good = `; plan nodes that speak NATS
(nats
  (listen "127.0.0.1:4222") ; for clients
  (cluster true)
  (move-within "3s")
  (session (class "sesion") (key user) (wait "1s"))
  (request (subject "plan.get.*") (class "plan-diario") (deadline "800ms") (key (token 2)))
  (request (subject "serie.>") (class "serie-hecha")))
`

var classes = []string{"sesion", "plan-diario", "serie-hecha"}

func TestGood(t *testing.T) {
	s, err := Parse("op.edn", []byte(good), classes)
	if err != nil {
		t.Fatal(err)
	}
	n := s.NATS
	if n.Listen != "127.0.0.1:4222" || !n.Cluster || n.MigrationTimeout != 3*time.Second || n.MaxPayload != 1<<20 ||
		n.Session != (Session{Class: "sesion", Key: KeySource{Kind: "user"}, Timeout: time.Second}) || len(n.Requests) != 2 ||
		n.Requests[0] != (RequestClass{"plan.get.*", "plan-diario", 800 * time.Millisecond, KeySource{"token", 2}, 7}) ||
		n.Requests[1].Timeout != time.Second || n.Requests[1].Key.Kind != "session" {
		t.Errorf("read as %+v", n)
	}
	if s, err := Parse("op.edn", []byte("; nothing\n"), nil); err != nil || s.NATS != nil {
		t.Errorf("an empty file: %+v, %v", s, err)
	}
}

// Each fault names file, line and key, and all come at once.
func TestFaults(t *testing.T) {
	for change, want := range map[string]string{
		`(cluster true)=>(cluster 1)`:                           `op.edn:4: nats.cluster: 1 is not true or false`,
		`(cluster true)=>(clutter true)`:                        `op.edn:4: nats.clutter: is no known key`,
		`(cluster true)=>(cluster true) (cluster true)`:         `op.edn:4: nats.cluster: is given twice, first on line 4`,
		`(cluster true)=>(max-payload 0)`:                       `op.edn:4: nats.max-payload: 0 is not within 1 and 67108864`,
		`(cluster true)=>(cluster true false)`:                  `op.edn:4: nats.cluster: has 2 values and wants one`,
		`(cluster true)=>cluster`:                               `op.edn:4: nats: cluster is not (key value)`,
		`"3s"=>3`:                                               `op.edn:5: nats.move-within: 3 is not a time such as "250ms"`,
		`"3s"=>"3h"`:                                            `op.edn:5: nats.move-within: 3h0m0s is not within 100ms and 1m0s`,
		`(class "plan-diario")=>(class "nada")`:                 `op.edn:7: nats.request.class: "nada" is no class of the settings`,
		`(token 2)=>(token x)`:                                  `op.edn:7: nats.request.key: a list is none of [session user token]`,
		`(subject "serie.>")=>(subject "plan.get.*")`:           `op.edn:8: nats.request.subject: "plan.get.*" is given twice, first on line 7`,
		`"127.0.0.1:4222"=>"here"`:                              `op.edn:2: nats.listen: "here" is not IP:port`,
		`(listen "127.0.0.1:4222") ; for clients=>; no address`: `op.edn:2: nats.listen: is missing`,
		`(nats=>(gnats`:                                         `op.edn:2: gnats: is no known key`,
		`(cluster true)=>(cluster true`:                         `op.edn:2: is no S-expression`,
	} {
		from, to, _ := strings.Cut(change, "=>")
		_, err := Parse("op.edn", []byte(strings.Replace(good, from, to, 1)), classes)
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: %v, want %s", change, err, want)
		}
	}
	text := strings.NewReplacer("true", "1", `"3s"`, "3", "(token 2)", "(token x)").Replace(good)
	_, err := Parse("op.edn", []byte(text), classes)
	var f FileError
	if !errors.As(err, &f) || strings.Count(err.Error(), "op.edn:") != 3 {
		t.Errorf("three faults are told as %v", err)
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(good))
	f.Add([]byte("(nats (listen 1)) #{1} [a] \"x"))
	f.Add([]byte("()(()) ; c"))
	f.Add([]byte("(\"\xa2\"0)"))
	f.Fuzz(func(t *testing.T, b []byte) {
		if s, err := Parse("f", b, nil); err == nil && s == nil {
			t.Fatal("neither settings nor a fault")
		}
	})
}

func TestClusterIsReadAndItsFaultsAreNamed(t *testing.T) {
	dir := t.TempDir()
	write := func(name, text string) string {
		t.Helper()
		at := filepath.Join(dir, name)
		if err := os.WriteFile(at, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return at
	}
	write("key", "0123456789abcdef\n")
	good := `(cluster (listen "10.0.0.4:7946") (member "n1" "10.0.0.5:7946") (key-file "key") (dir "/var/lib/x")
 (tier "informe-alta") (tier "ajuste-plan" "plan-diario"))`
	s, err := Load(write("good.edn", good), nil)
	if err != nil || s.Cluster == nil || string(s.Cluster.Key) != "0123456789abcdef" || s.Cluster.Members["n1"] != "10.0.0.5:7946" ||
		s.Cluster.PeerTimeout != 2*time.Second || s.Cluster.Dir != "/var/lib/x" {
		t.Fatalf("%v: %+v", err, s)
	}
	if by, n := s.Cluster.Priorities(); n != 3 || by["informe-alta"] != 2 || by["plan-diario"] != 1 || by["serie-hecha"] != 0 {
		t.Errorf("%d ranks: %v", n, by)
	}
	for _, c := range []struct{ from, to, want string }{
		{`"10.0.0.4:7946"`, `"there"`, "cluster.listen"}, {`"10.0.0.5:7946"`, `"n1:7946"`, "cluster.member"},
		{`(member "n1" "10.0.0.5:7946")`, ``, "cluster.member"}, {`(dir "/var/lib/x")`, ``, "cluster.dir"},
		{`(key-file "key")`, ``, "cluster.key-file"}, {`"key"`, `"absent"`, "cluster.key-file"},
		{`(dir`, `(peers-within "1h") (dir`, "cluster.peers-within"},
		{`(dir`, `(member "n1" "10.0.0.9:1") (dir`, "given twice"}, {`(dir`, `(gossip 3) (dir`, "gossip"}, {`"plan-diario"`, `"informe-alta"`, "cluster.tier"},
		{`(dir`, `(tier) (dir`, "cluster.tier"}, {`(dir`, `(floor-percent 101) (dir`, "cluster.floor-percent"},
	} {
		if _, err := Load(write("bad.edn", strings.Replace(good, c.from, c.to, 1)), nil); err == nil || !strings.Contains(err.Error(), c.want) || !strings.Contains(err.Error(), "bad.edn") {
			t.Errorf("%s as %s: %v", c.from, c.to, err)
		}
	}
	write("key", "short")
	var bad *KeyError
	if _, err := Load(write("good.edn", good), nil); !errors.As(err, &bad) {
		t.Errorf("a short key: %v", err)
	}
}
