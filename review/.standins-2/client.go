package main

import (
	"bufio"
	"cmp"
	"errors"
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

	orderly bool // the balancer has ended the connection without a reset; set before ended is closed
	plain   bool // the client knows no headers

	mu         sync.Mutex
	unreadable []string // frames that the client can't read
	handlers   map[string]func(message)
	unknown    int // messages to a subscription that does not exist
	pongs      []chan struct{}
}

// connect connects a client and waits until its session stands. It tries again until it is accepted.
func (s *scene) connect(user string) (*client, error) {
	var err error
	for until := time.Now().Add(clientTimeout); time.Now().Before(until); time.Sleep(reconnectWait) {
		var c *client
		if c, err = s.dialClient(user); err == nil {
			s.record.printf("client %s: connected", user)
			return c, nil
		}
	}
	return nil, fmt.Errorf("client %s: %w", user, err)
}

func (s *scene) dialClient(user string) (*client, error) {
	socket, err := net.DialTimeout("tcp", s.natsAddr, clientTimeout)
	if err != nil {
		return nil, err
	}
	c := &client{
		user: user, record: s.record, socket: socket, reader: bufio.NewReader(socket),
		ended: make(chan struct{}), handlers: map[string]func(message){}, plain: s.plain,
	}
	if _, err := c.reader.ReadString('\n'); err != nil { // INFO
		socket.Close()
		return nil, err
	}
	c.send(fmt.Sprintf(`CONNECT {"verbose":false,"pedantic":false,"headers":%t,"no_responders":%t,"protocol":1,`+
		`"lang":"go","version":"1.0","user":"%s","name":"%s"}`, !s.plain, !s.plain, cmp.Or(s.account, user), user) + "\r\n")
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
			c.orderly = errors.Is(err, io.EOF)
			return
		}
		fields := strings.Fields(line)
		if len(fields) == 0 {
			continue
		}
		if c.plain && fields[0] == "HMSG" {
			c.noteUnreadable(strings.TrimSpace(line))
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

// noteUnreadable notes a frame that the client can't read. A true client of that kind ends the connection.
func (c *client) noteUnreadable(line string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.record.printf("client %s: was sent %q", c.user, line)
	c.unreadable = append(c.unreadable, fmt.Sprintf("client %s knows no headers and was sent %q", c.user, line))
}

func (c *client) unreadableFrames() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.unreadable
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
	if fields[0] == "MSG" && len(fields) == 5 {
		m.reply = fields[3]
	}
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
