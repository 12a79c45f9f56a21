package experiment

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"net"
	"strings"
	"time"

	"github.com/jedib0t/go-pretty/v6/table"
	"github.com/urfave/cli/v3"

	"example.org/milletvane/internal/fakeserver"
	"example.org/milletvane/internal/nats/codec"
)

// Values of the flag "way", which selects how a session sends messages.
const (
	sendSequential = "one"     // one message at a time: the next one is sent when the previous one has returned
	sendPipelined  = "pipe"    // up to pipelineWindow messages in flight
	sendTracked    = "request" // one request at a time, which the gateway tracks
)

const (
	pipelineWindow = 32           // messages
	benchSubject   = "bench"      // the subject to which each session subscribes
	trackedSubject = "svc.safe.7" // matches a request rule in the settings of the gateway
)

// natsBenchResult holds the measurements of one case of nats-bench.
type natsBenchResult struct {
	benchResult
	SendMode string `json:"way"`
}

func (r natsBenchResult) cells() table.Row {
	return append(table.Row{r.SendMode}, r.benchResult.cells()...)
}

// natsBenchCommand returns the command that benchmarks the NATS protocol.
func natsBenchCommand() *cli.Command {
	flags := benchFlags(time.Second, []int{1, 50, 500}, []int{16, 128, 4096}, "payload of a message in bytes")
	flags = append(flags,
		&cli.StringSliceFlag{
			Name: "way", Value: []string{sendSequential, sendPipelined, sendTracked}, Usage: "how to send: one, pipe or request",
		})
	return &cli.Command{
		Name: "nats-bench", Usage: "measure NATS messages per second through a gateway, through a plain proxy and directly to a node",
		Flags: flags,
		Action: func(_ context.Context, c *cli.Command) error {
			headings := append([]any{"way"}, benchHeadings...)
			return runBenchmark(c, headings, benchCases(c, c.StringSlice("way")), func(bench benchCase) (benchRow, error) {
				return measureNATS(c, bench)
			})
		},
	}
}

// measureNATS measures one case with a fake NATS server that returns messages to their sender.
func measureNATS(c *cli.Command, bench benchCase) (natsBenchResult, error) {
	result := natsBenchResult{benchResult: newBenchResult(bench), SendMode: bench.sendMode}
	server, err := fakeserver.NewNATSEcho()
	if err != nil {
		return result, err
	}
	defer server.Close()
	err = result.measure(c, server.Addr(), "nats-gateway", func(addr string) (loadResult, error) {
		return natsLoad(addr, bench, c.Duration("span"))
	})
	return result, err
}

// natsLoad runs sessions that publish messages and receive them back, and returns the measured rate and latency.
func natsLoad(addr string, bench benchCase, duration time.Duration) (loadResult, error) {
	window := 1
	if bench.sendMode == sendPipelined {
		window = pipelineWindow
	}
	frame := benchFrame(bench.sendMode, bench.payload)
	return runLoad(bench.sessions, duration, func(int) (loadSession, error) {
		conn, reader, err := dialNATS(addr)
		if err != nil {
			return nil, err
		}
		return &natsSession{
			conn: conn, reader: reader, frame: frame, payload: bench.payload, window: window, duration: duration,
		}, nil
	})
}

// benchFrame returns the PUB frame of one message, including its payload.
func benchFrame(sendMode string, payload int) []byte {
	subject, reply := benchSubject, ""
	if sendMode == sendTracked {
		subject, reply = trackedSubject, benchSubject
	}
	frame := codec.AppendPub(nil, []byte(subject), []byte(reply), 0, payload)
	return append(append(frame, strings.Repeat("x", payload)...), "\r\n"...)
}

// natsSession is a client connection that keeps a window of messages in flight.
type natsSession struct {
	conn     net.Conn
	reader   *bufio.Reader
	frame    []byte // sent for each message
	payload  int    // bytes
	window   int    // messages
	duration time.Duration
}

func (s *natsSession) close() { closeQuietly(s.conn) }

func (s *natsSession) run(latencies *latencyHistogram) error {
	const grace = 20 * time.Second
	if err := s.conn.SetDeadline(time.Now().Add(s.duration + grace)); err != nil {
		return err
	}
	sentAt := make([]time.Time, s.window)
	for i := range sentAt {
		sentAt[i] = time.Now()
	}
	if err := s.send(s.window); err != nil {
		return err
	}
	batch := max(s.window/2, 1) // half a window is sent at once, as by clients that buffer their writes
	end := time.Now().Add(s.duration)
	for i := 0; ; i = (i + 1) % s.window {
		if err := s.receive(); err != nil {
			return err
		}
		now := time.Now()
		latencies.record(now.Sub(sentAt[i]))
		if now.After(end) {
			return nil
		}
		sentAt[i] = now
		if i%batch != batch-1 {
			continue
		}
		if err := s.send(batch); err != nil {
			return err
		}
	}
}

func (s *natsSession) send(messages int) error {
	_, err := s.conn.Write(bytes.Repeat(s.frame, messages))
	return err
}

// receive reads one message and discards its payload.
func (s *natsSession) receive() error {
	line, err := s.reader.ReadSlice('\n')
	if err != nil {
		return err
	}
	if !bytes.HasPrefix(line, []byte("MSG ")) {
		return fmt.Errorf("got %q, want MSG", line)
	}
	_, err = s.reader.Discard(s.payload + len("\r\n"))
	return err
}

// dialNATS connects to a server and subscribes to benchSubject. The returned reader may have buffered data of the connection.
func dialNATS(addr string) (net.Conn, *bufio.Reader, error) {
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		return nil, nil, err
	}
	reader := bufio.NewReaderSize(conn, 64<<10)
	if err := setUpNATS(conn, reader); err != nil {
		closeQuietly(conn)
		return nil, nil, err
	}
	return conn, reader, nil
}

// setUpNATS sends CONNECT, SUB and PING, and waits for the PONG. It returns an error if the server answers with -ERR.
func setUpNATS(conn net.Conn, reader *bufio.Reader) error {
	const setupTimeout = 10 * time.Second
	if err := conn.SetDeadline(time.Now().Add(setupTimeout)); err != nil {
		return err
	}
	_, err := fmt.Fprintf(conn, "CONNECT {\"verbose\":false,\"headers\":true}\r\nSUB %s 1\r\nPING\r\n", benchSubject)
	if err != nil {
		return fmt.Errorf("send CONNECT: %w", err)
	}
	for {
		line, err := reader.ReadString('\n')
		if err != nil {
			return fmt.Errorf("read the answer to CONNECT: got %q: %w", line, err)
		}
		if strings.HasPrefix(line, "-ERR") {
			return fmt.Errorf("CONNECT was answered with %q", line)
		}
		if line == codec.PongFrame {
			return nil
		}
	}
}
