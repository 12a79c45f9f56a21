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

// transcript records requests, answers and the lists passed to the handler, in their order.
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

// close ends the transcript and returns its text. Nothing after the script's last step is recorded.
func (r *transcript) close() []byte {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
	return r.text.Bytes()
}

// step determines the answer to one request.
type step struct {
	answer       string // the bytes of the answer
	isUnanswered bool   // the request gets no answer
	closesConn   bool   // the connection is closed after the answer
	changesAddr  bool   // the watcher is given the other address, and the request gets no answer
}

// okStep returns a step whose answer has status 200 and the given body.
func okStep(body string) step {
	return step{answer: fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(body), body)}
}

// scriptedService is a service on two loopback addresses that answers requests by a script and records each request.
type scriptedService struct {
	record      *transcript
	steps       chan step
	changeAddr  func()        // gives the watcher the second address
	scriptEnded chan struct{} // closed when the script has ended
	endOnce     sync.Once     // closes scriptEnded
	wg          sync.WaitGroup
	connCount   int // number of accepted connections
	addrs       []string
}

// discardUntilClosed reads until the watcher closes the connection.
func discardUntilClosed(c net.Conn) { _, _ = io.Copy(io.Discard, c) }

// serve accepts connections until the listener is closed, and serves each in its own goroutine.
func (s *scriptedService) serve(name string, l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		s.record.mu.Lock()
		s.connCount++
		number := s.connCount
		s.record.mu.Unlock()
		s.wg.Go(func() {
			defer func() { _ = c.Close() }() // the watcher may have closed its end
			s.serveConn(name, number, c)
		})
	}
}

func (s *scriptedService) serveConn(name string, number int, c net.Conn) {
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
			s.endOnce.Do(func() { close(s.scriptEnded) })
			discardUntilClosed(c)
			return
		case st.changesAddr:
			s.record.write("the address changes\n")
			s.changeAddr()
			discardUntilClosed(c)
			return
		case st.isUnanswered:
			s.record.write("no answer\n")
			discardUntilClosed(c)
			return
		}
		s.record.write("answer %q\n", st.answer)
		if _, err := io.WriteString(c, st.answer); err != nil || st.closesConn {
			return
		}
	}
}

// readHead reads a request up to its empty line, and replaces addresses by their names ADDR1 and ADDR2.
func (s *scriptedService) readHead(in *bufio.Reader) (string, error) {
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

// recordSession runs a watcher against a service with the given steps, and returns the transcript.
func recordSession(t *testing.T, settings refresh.Settings, known *EndpointList, steps []step) []byte {
	t.Helper()
	s := &scriptedService{record: &transcript{}, steps: make(chan step, len(steps)), scriptEnded: make(chan struct{})}
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
	startedAt := time.Now()
	w := New(s.addrs[0], settings, func() time.Duration { return time.Since(startedAt) }, slog.New(slog.DiscardHandler))
	w.SetHandler(func(ev engine.Event) {
		if l, ok := ev.(engine.EndpointList); ok {
			s.record.list(l)
		} else {
			s.record.write("another event\n")
		}
	})
	s.changeAddr = func() { w.SetAddr(s.addrs[1]) }
	ctx, cancel := context.WithCancel(t.Context())
	runReturned := make(chan struct{})
	go func() {
		defer close(runReturned)
		w.Run(ctx, known)
	}()
	select {
	case <-s.scriptEnded:
	case <-time.After(20 * time.Second):
		t.Errorf("the script has not ended after 20s, transcript so far: %s", s.record.close())
	}
	got := s.record.close()
	cancel()
	<-runReturned
	for _, l := range listeners {
		if err := l.Close(); err != nil {
			t.Error(err)
		}
	}
	s.wg.Wait()
	return got
}

// For each kind of answer, the requests of a watcher, the lists that it passes to its handler and the order of both are those
// in the golden file. The names of the cases are part of the golden file.
func TestRequestsGolden(t *testing.T) {
	const complete = `{"version":41,"full":true,"servers":[{"id":"s-00000001","addr":"10.0.0.1:1","state":"in_service"}]}`
	const delta = `{"version":42,"full":false,"servers":[{"id":"s-00000002","state":"terminating"}]}`
	known := &EndpointList{Version: 40, Endpoints: []Endpoint{{ID: "s-00000001"}}}
	discoverySettings := refresh.Settings{Gateways: 1, MaxPollInterval: time.Millisecond, DrainGrace: 2 * time.Second, Seed: 1}
	agentSettings := refresh.Settings{LocalAgent: true, DrainGrace: 2 * time.Second}
	shortGraceAgentSettings := refresh.Settings{LocalAgent: true, DrainGrace: time.Second}
	rawStep := func(text string) step { return step{answer: text} }
	closingStep := func(text string) step { return step{answer: text, closesConn: true} }
	var got bytes.Buffer
	for _, c := range []struct {
		name     string
		settings refresh.Settings
		known    *EndpointList
		steps    []step
	}{
		{"asked, nothing known: complete, changes, nothing new", discoverySettings, nil, []step{okStep(complete), okStep(delta), okStep(`{"version":42,"full":false}`)}},
		{"asked, a list known: complete, changes", discoverySettings, known, []step{okStep(complete), okStep(delta)}},
		{"pushed, nothing known: complete, changes, nothing new", agentSettings, nil, []step{okStep(complete), okStep(delta), okStep(`{"version":42,"full":false}`)}},
		{"pushed, a list known: changes to it", agentSettings, known, []step{okStep(delta), okStep(complete), okStep(complete)}},
		{"pushed, an empty list known", agentSettings, &EndpointList{Version: 40}, []step{okStep(complete)}},
		{"asked, a failed call", discoverySettings, known, []step{rawStep("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"), okStep(delta)}},
		{"pushed, failed calls of each kind", shortGraceAgentSettings, known, []step{
			rawStep("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"),
			rawStep("HTTP/1.1 302 Found\r\nLocation: /elsewhere\r\nContent-Length: 0\r\n\r\n"),
			rawStep("HTTP/1.1 204 No Content\r\n\r\n"),
			rawStep("HTTP/1.1 206 Partial Content\r\nContent-Length: 2\r\n\r\n{}"),
			rawStep("HTTP/1.1 200 OK\r\nContent-Encoding: gzip\r\nContent-Length: 3\r\n\r\n\x1f\x8b\x08"),
			okStep("<html>"), okStep(`{"servers":[{"addr":"x"}]}`),
			closingStep("HTTP/1.1 200 OK\r\nContent-Length: 500\r\n\r\n" + complete),
			closingStep(""),
			closingStep("HTTP/1.1 200 OK\r\nX: " + strings.Repeat("x", 17<<10) + "\r\nContent-Length: 2\r\n\r\n{}"),
			closingStep("no HTTP\r\n\r\n"),
			okStep(delta),
		}},
		{"pushed, forms of an answer", agentSettings, nil, []step{
			closingStep("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + complete),
			rawStep("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\n" + delta[:5] + "\r\n" + fmt.Sprintf("%x", len(delta)-5) + "\r\n" + delta[5:] + "\r\n0\r\n\r\n"),
			closingStep("HTTP/1.0 200 OK\r\nContent-Type: text/html\r\n\r\n" + strings.Replace(complete, "41", "43", 1)),
		}},
		{"pushed, an older list, and changes to another", agentSettings, known, []step{
			okStep(strings.Replace(delta, "42", "7", 1)), okStep(strings.Replace(complete, "41", "8", 1)),
			okStep(strings.Replace(complete, "41", "6", 1)), okStep(strings.Replace(complete, "41", "5", 1)), okStep(delta),
		}},
		{"pushed, changes without a list", agentSettings, nil, []step{okStep(delta), okStep(`{}`), okStep(complete)}},
		{"pushed, negative versions", agentSettings, nil, []step{okStep(strings.Replace(complete, "41", "-41", 1)), okStep(strings.Replace(delta, "42", "-40", 1))}},
		{"pushed, an answer that does not come", shortGraceAgentSettings, known, []step{{isUnanswered: true}, okStep(delta)}},
		{"asked, the address changes during a call", discoverySettings, nil, []step{okStep(complete), {changesAddr: true}, okStep(strings.Replace(complete, "41", "3", 1))}},
		{"pushed, the address changes during a call", agentSettings, known, []step{{changesAddr: true}, okStep(strings.Replace(complete, "41", "3", 1))}},
	} {
		fmt.Fprintf(&got, "# %s\n%s\n", c.name, recordSession(t, c.settings, c.known, c.steps))
	}
	golden.Check(t, "requests.txt", got.Bytes())
}
