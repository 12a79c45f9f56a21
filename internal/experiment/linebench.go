package experiment

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"example.org/milletvane/internal/fakeserver"
)

// lineBenchCommand returns the command that benchmarks the line protocol.
func lineBenchCommand() *cli.Command {
	return &cli.Command{
		Name: "relay-bench", Usage: "measure lines per second through a gateway, through a plain proxy and directly to a server",
		Flags: benchFlags(3*time.Second, []int{1, 50}, []int{128}, "length of a line in bytes, including its end"),
		Action: func(_ context.Context, c *cli.Command) error {
			return runBenchmark(c, benchHeadings, benchCases(c, []string{""}), func(bench benchCase) (benchRow, error) {
				return measureLines(c, bench)
			})
		},
	}
}

// measureLines measures one case with a fake server that echoes lines.
func measureLines(c *cli.Command, bench benchCase) (benchResult, error) {
	result := newBenchResult(bench)
	server, err := fakeserver.NewLineServer()
	if err != nil {
		return result, err
	}
	defer server.Close()
	err = result.measure(c, server.Addr(), "line-gateway", func(addr string) (loadResult, error) {
		return lineLoad(addr, bench.sessions, bench.payload, c.Duration("span"))
	})
	return result, err
}

// lineLoad runs sessions that repeatedly send a line and wait for its echo, and returns the measured rate and latency.
func lineLoad(addr string, sessions, payload int, duration time.Duration) (loadResult, error) {
	line := []byte(strings.Repeat("x", max(payload-2, 0)) + "\r\n")
	return runLoad(sessions, duration, func(index int) (loadSession, error) {
		return openLineSession(addr, index, line, duration)
	})
}

// lineSession is an established connection that waits for the echo of each line before it sends the next.
type lineSession struct {
	conn     net.Conn
	reader   *bufio.Reader
	line     []byte
	duration time.Duration
}

// openLineSession connects to addr and opens a connection of the line protocol.
func openLineSession(addr string, index int, line []byte, duration time.Duration) (*lineSession, error) {
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		return nil, err
	}
	s := &lineSession{conn: conn, reader: bufio.NewReaderSize(conn, 8<<10), line: line, duration: duration}
	if err := s.open(index); err != nil {
		s.close()
		return nil, err
	}
	return s, nil
}

// open sends OPEN with a request name that no other session uses, and returns an error unless the answer is UP.
func (s *lineSession) open(index int) error {
	_, err := fmt.Fprintf(s.conn, "OPEN %x key%d c=lines,d=5000\r\n", time.Now().UnixNano()+int64(index), index)
	if err != nil {
		return fmt.Errorf("send OPEN: %w", err)
	}
	answer, err := s.reader.ReadString('\n')
	if err != nil {
		return fmt.Errorf("read the answer to OPEN: got %q: %w", answer, err)
	}
	if !strings.HasPrefix(answer, "UP") {
		return fmt.Errorf("got answer %q to OPEN, want UP", answer)
	}
	return nil
}

func (s *lineSession) close() { closeQuietly(s.conn) }

func (s *lineSession) run(latencies *latencyHistogram) error {
	end := time.Now().Add(s.duration)
	for {
		sentAt := time.Now()
		if sentAt.After(end) {
			return nil
		}
		if _, err := s.conn.Write(s.line); err != nil {
			return err
		}
		if _, err := s.reader.ReadSlice('\n'); err != nil {
			return err
		}
		latencies.record(time.Since(sentAt))
	}
}
