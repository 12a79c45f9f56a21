package discovery

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"example.org/milletvane/internal/golden"

	"example.org/milletvane/balancer"
	"example.org/milletvane/internal/engine"
)

// writeList writes a list in the engine's form, field by field. The words of the text differ from the names in the code, but
// must not change, because the golden files contain them.
func writeList(w *bytes.Buffer, l engine.EndpointList) {
	mode := "other"
	switch l.Mode {
	case balancer.ListDelta:
		mode = "changes"
	case balancer.ListComplete:
		mode = "complete"
	case balancer.ListCached:
		mode = "stored"
	}
	fmt.Fprintf(w, "list mode=%s version=%d servers=%d\n", mode, l.Version, len(l.Servers))
	for _, s := range l.Servers {
		state := "other"
		switch s.State {
		case balancer.Ready:
			state = "ready"
		case balancer.Draining:
			state = "draining"
		case balancer.Removed:
			state = "gone"
		}
		fmt.Fprintf(w, "server name=%q addr=%q id=%d zone=%q cell=%d state=%s capacity=%g started=%d clear=%t\n",
			s.Name, s.Addr, uint64(s.ID), s.Zone, s.Cell, state, s.Capacity, int64(s.Started), s.Evacuate)
	}
}

// answerBodies are bodies of a service's answer. Their names are part of the golden file.
var answerBodies = []struct{ name, body string }{
	{"complete", `{"version":41,"full":true,"servers":[` +
		`{"id":"s-5be2a07c","addr":"10.1.2.3:7000","zone":"oviedo","kind":"line","cell":3,"state":"in_service","weight":1.5,"started_ms":1700000000123},` +
		`{"id":"node-7","addr":"[fd00::1]:7000","zone":"a-b","kind":"nats","cell":0,"state":"terminating","weight":0.25,"started_ms":1},` +
		`{"id":"s-5be2a07d","state":"terminated"}]}`},
	{"delta", `{"version":42,"full":false,"servers":[{"id":"s-5be2a07c","addr":"10.1.2.3:7001","state":"terminating"}]}`},
	{"nothing new", `{"version":42,"full":false,"servers":[]}`},
	{"no server", `{"version":43,"full":true,"servers":[]}`},
	{"indented", "{\r\n\t\"version\": 44,\r\n\t\"full\": true,\r\n\t\"servers\": [\r\n\t\t{\r\n\t\t\t\"id\": \"s-00000001\",\r\n\t\t\t\"weight\": 2e0\r\n\t\t}\r\n\t]\r\n}\r\n"},
	{"unknown fields", `{"comment":{"a":[1,null]},"version":45,"full":true,"etag":"x","servers":[{"id":"s-00000001","labels":{"x":"y"},"state":"in_service","port":1}]}`},
	{"other order and case", `{"servers":[{"STATE":"in_service","Id":"s-00000002","Started_MS":5}],"FULL":true,"Version":46}`},
	{"keys twice", `{"version":1,"version":47,"full":false,"full":true,"servers":[{"id":"a","id":"b"}],"servers":[{"id":"c"}]}`},
	{"servers null", `{"version":48,"full":true,"servers":null}`},
	{"server null", `{"version":48,"full":true,"servers":[null]}`},
	{"entry null fields", `{"version":null,"full":null,"servers":[{"id":"s-00000001","addr":null,"weight":null,"cell":null,"state":null}]}`},
	{"empty object", `{}`},
	{"null", `null`},
	{"states", `{"version":49,"servers":[{"id":"1","state":"in_service"},{"id":"2","state":"terminating"},{"id":"3","state":"terminated"},` +
		`{"id":"4","state":""},{"id":"5","state":"IN_SERVICE"},{"id":"6","state":"new-word"},{"id":"7"}]}`},
	{"odd figures", `{"version":-9223372036854775808,"full":true,"servers":[{"id":"a","cell":-4,"weight":-1.5,"started_ms":-7},{"id":"b","weight":1e300,"started_ms":9223372036854775}]}`},
	{"names", `{"version":50,"servers":[{"id":"s-ffffffff"},{"id":"s-00000000"},{"id":"00000010"},{"id":"a-b-0000001F"},{"id":"s-0000001"},{"id":"s-000000001"},` +
		`{"id":"s-zzzzzzzz"},{"id":"s-+be2a07c"},{"id":"é\u0000\n"},{"id":"-"},{"id":"s-5be2a07c "},{"id":"S-5BE2A07C"}]}`},
	{"the same id twice", `{"version":51,"full":true,"servers":[{"id":"a","cell":1},{"id":"a","cell":2}]}`},
	{"without id", `{"version":52,"full":true,"servers":[{"id":"a"},{"addr":"x"}]}`},
	{"empty id", `{"version":52,"full":true,"servers":[{"id":""}]}`},
	{"id a number", `{"version":52,"full":true,"servers":[{"id":7}]}`},
	{"version a string", `{"version":"52","full":true,"servers":[]}`},
	{"version a fraction", `{"version":52.5,"full":true,"servers":[]}`},
	{"version out of range", `{"version":9223372036854775808,"full":true,"servers":[]}`},
	{"full a number", `{"version":52,"full":1,"servers":[]}`},
	{"servers an object", `{"version":52,"full":true,"servers":{}}`},
	{"cell a fraction", `{"version":52,"full":true,"servers":[{"id":"a","cell":1.5}]}`},
	{"weight a string", `{"version":52,"full":true,"servers":[{"id":"a","weight":"1"}]}`},
	{"an array", `[]`},
	{"cut", `{"version":52,"full":true,"servers":[{"id":"a"`},
	{"more behind", `{"version":52,"full":true,"servers":[]}{}`},
	{"space around", " \r\n" + `{"version":53,"full":true,"servers":[]}` + "\n\t "},
	{"byte order mark", "\ufeff" + `{"version":54}`},
	{"bad UTF-8", "{\"version\":55,\"servers\":[{\"id\":\"\xff\xfe\"}]}"},
	{"html", "<html>\r\n"},
	{"empty", ""},
}

// Each body is decoded as in the golden file, both in discovery's format and in the engine's form, and encoded again.
func TestDecodeGolden(t *testing.T) {
	var got bytes.Buffer
	for _, c := range answerBodies {
		fmt.Fprintf(&got, "# %s\n%q\n", c.name, c.body)
		m, err := Parse([]byte(c.body))
		if err != nil {
			got.WriteString("error\n\n")
			continue
		}
		fmt.Fprintf(&got, "decoded version=%d full=%t servers=%d nil=%t\n", m.Version, m.Complete, len(m.Endpoints), m.Endpoints == nil)
		for _, s := range m.Endpoints {
			fmt.Fprintf(&got, "entry id=%q addr=%q zone=%q kind=%q cell=%d state=%q weight=%g started_ms=%d\n",
				s.ID, s.Addr, s.Zone, s.Kind, s.Cell, s.State, s.Weight, s.StartedMS)
		}
		encode(t, &got, m)
		writeList(&got, m.EngineList(balancer.ListComplete))
		got.WriteByte('\n')
	}
	golden.Check(t, "decoded.txt", got.Bytes())
}

// encode writes a list in discovery's format, in which it is stored and sent to peers.
func encode(t *testing.T, w *bytes.Buffer, m *EndpointList) {
	t.Helper()
	text, err := json.Marshal(m)
	if err != nil {
		t.Fatal(err)
	}
	fmt.Fprintf(w, "json %s\n", text)
}

// Servers of the engine are encoded in discovery's format as in the golden file.
func TestEncodeGolden(t *testing.T) {
	var got bytes.Buffer
	encode(t, &got, NewEndpointList(0, nil))
	encode(t, &got, NewEndpointList(77, []engine.Server{
		{Name: "s-5be2a07c", Addr: "10.1.2.3:7000", Server: balancer.Server{
			ID: 1, Zone: "a", Cell: 3, State: balancer.Ready,
			Capacity: 1.5, Started: 1700000000123*time.Millisecond + 999*time.Microsecond, Evacuate: true,
		}},
		{Name: "b", Server: balancer.Server{State: balancer.Draining}},
		{Name: "c", Server: balancer.Server{State: balancer.Removed, Cell: -1, Capacity: -2, Started: -1}},
	}))
	golden.Check(t, "encoded.txt", got.Bytes())
}

// The numeric IDs of servers don't change: other gateways and stored state depend on them.
func TestServerNumbersGolden(t *testing.T) {
	var got bytes.Buffer
	for _, id := range []string{
		"", "-", "s-5be2a07c", "s-5BE2A07C", "5be2a07c", "a-b-5be2a07c", "s-5be2a07c-", "s-00000000", "s-ffffffff",
		"s-5be2a07", "s-5be2a07cc", "s-zzzzzzzz", "s-+be2a07c", "s-0x5be2a0", "s-1_000_00", "node-7", "node-8", "é", "\x00",
		strings.Repeat("x", 300),
	} {
		fmt.Fprintf(&got, "%q %d\n", id, uint64(ServerID(id)))
	}
	golden.Check(t, "numbers.txt", got.Bytes())
}
