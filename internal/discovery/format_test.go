package discovery

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"example.org/milletvane/balancer"
	"example.org/milletvane/internal/discovery/refresh"
	"example.org/milletvane/internal/engine"
)

var updateFormats = flag.Bool("update", false, "rewrite the golden files in testdata")

// checkGolden compares text with a file under testdata, byte for byte.
func checkGolden(t *testing.T, name string, got []byte) {
	t.Helper()
	path := filepath.Join("testdata", name)
	if *updateFormats {
		if err := os.WriteFile(path, got, 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	gotLines, wantLines := strings.Split(string(got), "\n"), strings.Split(string(want), "\n")
	for i := range max(len(gotLines), len(wantLines)) {
		var g, w string
		if i < len(gotLines) {
			g = gotLines[i]
		}
		if i < len(wantLines) {
			w = wantLines[i]
		}
		if g != w {
			t.Fatalf("%s: line %d is %q, want %q", path, i+1, g, w)
		}
	}
	if !bytes.Equal(got, want) {
		t.Errorf("%s differs", path)
	}
}

// writeList writes a list as the engine gets it, field by field. The text does not follow the names in the code, so that the
// golden files stay as they are.
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

// formatBodies are what a service may answer with.
var formatBodies = []struct{ name, body string }{
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

// What is decoded from each body, in discovery's form and in the engine's, and how it is encoded again.
func TestDecodeGolden(t *testing.T) {
	var got bytes.Buffer
	for _, c := range formatBodies {
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
	checkGolden(t, "decoded.txt", got.Bytes())
}

// encode writes a list in discovery's form, as it is stored and sent to peers.
func encode(t *testing.T, w *bytes.Buffer, m *EndpointList) {
	t.Helper()
	text, err := json.Marshal(m)
	if err != nil {
		t.Fatal(err)
	}
	fmt.Fprintf(w, "json %s\n", text)
}

// Lists of the engine are encoded in discovery's form.
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
	checkGolden(t, "encoded.txt", got.Bytes())
}

// Servers keep their numbers: other gateways and stored state depend on them.
func TestServerNumbersGolden(t *testing.T) {
	var got bytes.Buffer
	for _, id := range []string{
		"", "-", "s-5be2a07c", "s-5BE2A07C", "5be2a07c", "a-b-5be2a07c", "s-5be2a07c-", "s-00000000", "s-ffffffff",
		"s-5be2a07", "s-5be2a07cc", "s-zzzzzzzz", "s-+be2a07c", "s-0x5be2a0", "s-1_000_00", "node-7", "node-8", "é", "\x00",
		strings.Repeat("x", 300),
	} {
		fmt.Fprintf(&got, "%q %d\n", id, uint64(ServerID(id)))
	}
	checkGolden(t, "numbers.txt", got.Bytes())
}

// transcript records requests, answers and the lists that were passed on, in their order.
type transcript struct {
	mu     sync.Mutex
	text   bytes.Buffer
	closed bool
}

func (r *transcript) write(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.closed {
		fmt.Fprintf(&r.text, format, args...)
	}
}

func (r *transcript) list(l engine.EndpointList) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.closed {
		writeList(&r.text, l)
	}
}

// close ends the transcript: what comes after the script's last step is not recorded.
func (r *transcript) close() []byte {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
	return r.text.Bytes()
}

// step answers one request with raw bytes; hang leaves the request without an answer.
type step struct {
	raw   string
	hang  bool
	shut  bool // the connection is closed afterwards
	moved bool // the watcher is given the other address in place of an answer
}

// plain is an answer with a body.
func plain(body string) step {
	return step{raw: fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(body), body)}
}

// scripted answers requests on loopback by a script and records each request as it came.
type scripted struct {
	record *transcript
	steps  chan step
	move   func()
	done   chan struct{} // closed when the script has ended
	end    sync.Once     // closes it
	wg     sync.WaitGroup
	conns  int // that were accepted
	addrs  []string
}

// drain reads until the watcher hangs up.
func drain(c net.Conn) { _, _ = io.Copy(io.Discard, c) }

// serve accepts until the listener is closed. Connections are served one at a time, as the watcher has one.
func (s *scripted) serve(name string, l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		s.record.mu.Lock()
		s.conns++
		number := s.conns
		s.record.mu.Unlock()
		s.wg.Go(func() {
			defer func() { _ = c.Close() }() // the watcher may have closed its end
			s.serveConn(name, number, c)
		})
	}
}

func (s *scripted) serveConn(name string, number int, c net.Conn) {
	in := bufio.NewReader(c)
	for {
		var head strings.Builder
		for !strings.HasSuffix(head.String(), "\r\n\r\n") {
			line, err := in.ReadString('\n')
			if err != nil {
				return
			}
			for i, addr := range s.addrs {
				line = strings.ReplaceAll(line, addr, fmt.Sprintf("ADDR%d", i+1))
			}
			head.WriteString(line)
		}
		s.record.write("request to %s on connection %d\n", name, number)
		for line := range strings.Lines(head.String()) {
			s.record.write("%q\n", line)
		}
		st, more := <-s.steps
		switch {
		case !more:
			s.end.Do(func() { close(s.done) })
			drain(c)
			return
		case st.moved:
			s.record.write("the address changes\n")
			s.move()
			drain(c)
			return
		case st.hang:
			s.record.write("no answer\n")
			drain(c)
			return
		}
		s.record.write("answer %q\n", st.raw)
		if _, err := io.WriteString(c, st.raw); err != nil || st.shut {
			return
		}
	}
}

// session returns the transcript of a watcher while a script answers it.
func session(t *testing.T, set refresh.Settings, known *EndpointList, steps []step) []byte {
	t.Helper()
	s := &scripted{record: &transcript{}, steps: make(chan step, len(steps)), done: make(chan struct{})}
	for _, st := range steps {
		s.steps <- st
	}
	close(s.steps)
	var listeners []net.Listener
	for range 2 {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		listeners = append(listeners, l)
		s.addrs = append(s.addrs, l.Addr().String())
	}
	for i, l := range listeners {
		s.wg.Go(func() { s.serve(fmt.Sprintf("ADDR%d", i+1), l) })
	}
	began := time.Now()
	w := New(s.addrs[0], set, func() time.Duration { return time.Since(began) }, slog.New(slog.DiscardHandler))
	w.SetHandler(func(ev engine.Event) {
		if l, ok := ev.(engine.EndpointList); ok {
			s.record.list(l)
		} else {
			s.record.write("another event\n")
		}
	})
	s.move = func() { w.SetAddr(s.addrs[1]) }
	ctx, cancel := context.WithCancel(t.Context())
	ran := make(chan struct{})
	go func() {
		defer close(ran)
		w.Run(ctx, known)
	}()
	select {
	case <-s.done:
	case <-time.After(20 * time.Second):
		t.Errorf("the script has not ended: %s", s.record.close())
	}
	got := s.record.close()
	cancel()
	<-ran
	for _, l := range listeners {
		if err := l.Close(); err != nil {
			t.Error(err)
		}
	}
	s.wg.Wait()
	return got
}

// Each request as it is sent, what is passed on of each answer, and which request follows.
func TestRequestsGolden(t *testing.T) {
	const complete = `{"version":41,"full":true,"servers":[{"id":"s-00000001","addr":"10.0.0.1:1","state":"in_service"}]}`
	const delta = `{"version":42,"full":false,"servers":[{"id":"s-00000002","state":"terminating"}]}`
	known := &EndpointList{Version: 40, Endpoints: []Endpoint{{ID: "s-00000001"}}}
	asked := refresh.Settings{Gateways: 1, MaxPollInterval: time.Millisecond, DrainGrace: 2 * time.Second, Seed: 1}
	pushed := refresh.Settings{LocalAgent: true, DrainGrace: 2 * time.Second}
	quick := refresh.Settings{LocalAgent: true, DrainGrace: 600 * time.Millisecond}
	raw := func(text string) step { return step{raw: text} }
	last := func(text string) step { return step{raw: text, shut: true} }
	var got bytes.Buffer
	for _, c := range []struct {
		name  string
		set   refresh.Settings
		known *EndpointList
		steps []step
	}{
		{"asked, nothing known: complete, changes, nothing new", asked, nil, []step{plain(complete), plain(delta), plain(`{"version":42,"full":false}`)}},
		{"asked, a list known: complete, changes", asked, known, []step{plain(complete), plain(delta)}},
		{"pushed, nothing known: complete, changes, nothing new", pushed, nil, []step{plain(complete), plain(delta), plain(`{"version":42,"full":false}`)}},
		{"pushed, a list known: changes to it", pushed, known, []step{plain(delta), plain(complete), plain(complete)}},
		{"pushed, an empty list known", pushed, &EndpointList{Version: 40}, []step{plain(complete)}},
		{"asked, a failed call", asked, known, []step{raw("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"), plain(delta)}},
		{"pushed, failed calls of each kind", quick, known, []step{
			raw("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"),
			raw("HTTP/1.1 302 Found\r\nLocation: /elsewhere\r\nContent-Length: 0\r\n\r\n"),
			raw("HTTP/1.1 204 No Content\r\n\r\n"),
			raw("HTTP/1.1 206 Partial Content\r\nContent-Length: 2\r\n\r\n{}"),
			raw("HTTP/1.1 200 OK\r\nContent-Encoding: gzip\r\nContent-Length: 3\r\n\r\n\x1f\x8b\x08"),
			plain("<html>"), plain(`{"servers":[{"addr":"x"}]}`),
			last("HTTP/1.1 200 OK\r\nContent-Length: 500\r\n\r\n" + complete),
			last(""),
			last("HTTP/1.1 200 OK\r\nX: " + strings.Repeat("x", 17<<10) + "\r\nContent-Length: 2\r\n\r\n{}"),
			last("no HTTP\r\n\r\n"),
			plain(delta),
		}},
		{"pushed, forms of an answer", pushed, nil, []step{
			last("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + complete),
			raw("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\n" + delta[:5] + "\r\n" + fmt.Sprintf("%x", len(delta)-5) + "\r\n" + delta[5:] + "\r\n0\r\n\r\n"),
			last("HTTP/1.0 200 OK\r\nContent-Type: text/html\r\n\r\n" + strings.Replace(complete, "41", "43", 1)),
		}},
		{"pushed, an older list, and changes to another", pushed, known, []step{
			plain(strings.Replace(delta, "42", "7", 1)), plain(strings.Replace(complete, "41", "8", 1)),
			plain(strings.Replace(complete, "41", "6", 1)), plain(strings.Replace(complete, "41", "5", 1)), plain(delta),
		}},
		{"pushed, changes without a list", pushed, nil, []step{plain(delta), plain(`{}`), plain(complete)}},
		{"pushed, negative versions", pushed, nil, []step{plain(strings.Replace(complete, "41", "-41", 1)), plain(strings.Replace(delta, "42", "-40", 1))}},
		{"pushed, an answer that does not come", quick, known, []step{{hang: true}, plain(delta)}},
		{"asked, the address changes during a call", asked, nil, []step{plain(complete), {moved: true}, plain(strings.Replace(complete, "41", "3", 1))}},
		{"pushed, the address changes during a call", pushed, known, []step{{moved: true}, plain(strings.Replace(complete, "41", "3", 1))}},
	} {
		fmt.Fprintf(&got, "# %s\n%s\n", c.name, session(t, c.set, c.known, c.steps))
	}
	checkGolden(t, "requests.txt", got.Bytes())
}
