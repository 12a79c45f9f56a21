package discovery

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"example.org/milletvane/internal/golden"

	"example.org/milletvane/internal/discovery/refresh"
	"example.org/milletvane/internal/engine"
)

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
		head, err := s.readHead(in)
		if err != nil {
			return
		}
		s.record.write("request to %s on connection %d\n", name, number)
		for line := range strings.Lines(head) {
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

// readHead reads a request up to its empty line, with names in place of addresses.
func (s *scripted) readHead(in *bufio.Reader) (string, error) {
	var head strings.Builder
	for !strings.HasSuffix(head.String(), "\r\n\r\n") {
		line, err := in.ReadString('\n')
		if err != nil {
			return "", err
		}
		for i, addr := range s.addrs {
			line = strings.ReplaceAll(line, addr, fmt.Sprintf("ADDR%d", i+1))
		}
		head.WriteString(line)
	}
	return head.String(), nil
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
	quick := refresh.Settings{LocalAgent: true, DrainGrace: time.Second}
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
	golden.Check(t, "requests.txt", got.Bytes())
}
