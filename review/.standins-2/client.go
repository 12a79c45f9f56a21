package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	clientTimeout = 5 * time.Second
	reconnectWait = 20 * time.Millisecond
)

// client is a NATS client. Messages are passed to the function of their subscription on the client's goroutine.
type client struct {
	user   string
	record *record
	socket net.Conn
	reader *bufio.Reader
	ended  chan struct{} // closed when the connection has ended

	mu       sync.Mutex
	handlers map[string]func(message)
	unknown  int // messages to a subscription that does not exist
	pongs    []chan struct{}
}

// connect connects a client and waits until its session stands. It tries again until it is accepted.
func (s *scene) connect(user string) (*client, error) {
	var err error
	for until := time.Now().Add(clientTimeout); time.Now().Before(until); time.Sleep(reconnectWait) {
		var c *client
		if c, err = dialClient(s.natsAddr, user, s.record); err == nil {
			s.record.printf("client %s: connected", user)
			return c, nil
		}
	}
	return nil, fmt.Errorf("client %s: %w", user, err)
}

func dialClient(addr, user string, r *record) (*client, error) {
	socket, err := net.DialTimeout("tcp", addr, clientTimeout)
	if err != nil {
		return nil, err
	}
	c := &client{
		user: user, record: r, socket: socket, reader: bufio.NewReader(socket),
		ended: make(chan struct{}), handlers: map[string]func(message){},
	}
	if _, err := c.reader.ReadString('\n'); err != nil { // INFO
		socket.Close()
		return nil, err
	}
	c.send(fmt.Sprintf(`CONNECT {"verbose":false,"pedantic":false,"headers":true,"no_responders":true,"protocol":1,`+
		`"lang":"go","version":"1.0","user":"%s","name":"%s"}`, user, user) + "\r\n")
	go c.read()
	if err := c.flush(); err != nil {
		socket.Close()
		return nil, err
	}
	return c, nil
}

func (c *client) send(frame string) { _, _ = c.socket.Write([]byte(frame)) }

func (c *client) close() { _ = c.socket.Close() }

// flush waits until all that was sent has been taken.
func (c *client) flush() error {
	pong := make(chan struct{})
	c.mu.Lock()
	c.pongs = append(c.pongs, pong)
	c.mu.Unlock()
	c.send("PING\r\n")
	select {
	case <-pong:
		return nil
	case <-c.ended:
		return io.ErrUnexpectedEOF
	case <-time.After(clientTimeout):
		return fmt.Errorf("no PONG within %v", clientTimeout)
	}
}

// subscribe subscribes to a subject. queue may be empty.
func (c *client) subscribe(subject, queue, sid string, handle func(message)) error {
	c.mu.Lock()
	c.handlers[sid] = handle
	c.mu.Unlock()
	if queue != "" {
		queue += " "
	}
	c.send(fmt.Sprintf("SUB %s %s%s\r\n", subject, queue, sid))
	return c.flush()
}

// forget drops the function of a subscription that has ended.
func (c *client) forget(sid string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.handlers, sid)
}

func (c *client) publish(subject, reply, body string) {
	if reply != "" {
		reply += " "
	}
	c.send(fmt.Sprintf("PUB %s %s%d\r\n%s\r\n", subject, reply, len(body), body))
}

// read handles frames until the connection ends.
func (c *client) read() {
	defer close(c.ended)
	for {
		line, err := c.reader.ReadString('\n')
		if err != nil {
			return
		}
		fields := strings.Fields(line)
		if len(fields) == 0 {
			continue
		}
		switch fields[0] {
		case "PING":
			c.send("PONG\r\n")
		case "PONG":
			c.pong()
		case "-ERR":
			c.record.printf("client %s: %s", c.user, strings.TrimSpace(line))
		case "MSG", "HMSG":
			if err := c.receive(fields); err != nil {
				return
			}
		}
	}
}

func (c *client) pong() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.pongs) > 0 {
		close(c.pongs[0])
		c.pongs = c.pongs[1:]
	}
}

func (c *client) receive(fields []string) error {
	size, err := strconv.Atoi(fields[len(fields)-1])
	if err != nil {
		return err
	}
	body := make([]byte, size+2)
	if _, err := io.ReadFull(c.reader, body); err != nil {
		return err
	}
	m := message{subject: fields[1], body: string(body[:size])}
	c.mu.Lock()
	handle := c.handlers[fields[2]]
	if handle == nil {
		c.unknown++
	}
	c.mu.Unlock()
	if handle != nil {
		handle(m)
	}
	return nil
}
