package main

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"time"
)

// slowReader has a client read steadily, but slower than its node sends. No node has any trouble. Without trouble the client
// reads as fast as it can.
func slowReader(t *test, b *balancer) (violations []string) {
	const (
		subject = "informe.alta.alba"
		count   = 5000  // messages, one a millisecond
		size    = 2048  // bytes of a message
		rate    = 400e3 // bytes a second that the slow client reads
	)
	cl := newCluster(t.rec)
	for range 3 {
		cl.startNode()
	}
	b.disc = startDiscovery(t.rec, cl.members())
	b.operator = `  (cluster true)
  (session (class "informe-alta") (key user) (wait "2s"))`
	b.start()

	conn, err := net.Dial("tcp", b.nats)
	must(err)
	defer conn.Close()
	must(conn.(*net.TCPConn).SetReadBuffer(128 << 10))
	_, err = conn.Write([]byte(`CONNECT {"verbose":false,"user":"alba","pass":"x","lang":"go","version":"1","protocol":1,"headers":true}` +
		"\r\nSUB " + subject + " 1\r\nPING\r\n"))
	must(err)
	r := bufio.NewReaderSize(conn, 4096)
	for {
		line, err := r.ReadString('\n')
		must(err)
		if strings.HasPrefix(line, "PONG") {
			break
		}
	}
	holder := cl.holder("alba", subject)
	if holder == nil {
		cannotRun("the subscription is at no node")
	}
	t.rec.logf("the session of alba stands at %s", holder.name)
	published := make(chan struct{})
	go func() {
		defer close(published)
		for i := 1; i <= count; i++ {
			if cl.publish(holder, message{subject: subject, payload: fmt.Appendf(nil, "%d %s", i, strings.Repeat("x", size))}) == 0 {
				t.rec.logf("nodes: no subscription takes message %d", i)
			}
			time.Sleep(time.Millisecond)
		}
		t.rec.logf("nodes: %d messages published", count)
	}()
	times, received, bytesRead, longestPause := map[string]int{}, 0, 0, time.Duration(0)
	ended, quiet := "", false
	begin, last := time.Now(), time.Now()
	for len(times) < count && ended == "" && !quiet && time.Since(begin) < 80*time.Second {
		if ahead := time.Duration(float64(bytesRead)/rate*float64(time.Second)) - time.Since(begin); t.trouble && ahead > 0 {
			time.Sleep(ahead)
		}
		longestPause, last = max(longestPause, time.Since(last)), time.Now()
		_ = conn.SetReadDeadline(time.Now().Add(4 * time.Second))
		line, err := r.ReadString('\n')
		if err == nil && strings.HasPrefix(line, "MSG ") {
			var body string
			body, err = r.ReadString('\n')
			number, _, _ := strings.Cut(body, " ")
			times[number]++
			received++
			if received%1000 == 0 {
				t.rec.logf("client alba: %d messages received, the last is %s", received, number)
			}
			bytesRead += len(body)
		}
		bytesRead += len(line)
		last = time.Now()
		switch {
		case err != nil && strings.Contains(err.Error(), "timeout"):
			quiet = true
		case err != nil:
			ended = err.Error()
		case strings.HasPrefix(line, "-ERR"):
			ended = strings.TrimSpace(line)
		case strings.HasPrefix(line, "PING"):
			_, _ = conn.Write([]byte("PONG\r\n"))
		}
	}
	<-published
	missing, first := 0, 0
	for i := 1; i <= count; i++ {
		if times[fmt.Sprint(i)] == 0 {
			missing++
			if first == 0 {
				first = i
			}
		}
	}
	t.rec.logf("client alba: %d of %d messages received, none more than %v apart from its own reading; the first that is missing is %d; connection ended: %q; nothing for 4 s: %t",
		len(times), count, longestPause, first, ended, quiet)
	if missing > 0 && ended == "" {
		violations = append(violations, fmt.Sprintf("%d of %d messages were lost, and the client's connection stays open", missing, count))
	}
	return violations
}
