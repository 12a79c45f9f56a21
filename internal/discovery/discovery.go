// Package discovery keeps a watch on the list of servers: one HTTP call after another, each of which waits for news.
package discovery

import (
	"context"
	"errors"
	"fmt"
	"log"
	"sync"
	"time"

	"github.com/cloudwego/netpoll"

	"example.org/milletvane/internal/engine"
	"example.org/milletvane/rules"
)

const (
	waitFor  = 10 * time.Second // a call waits this long for news
	answerIn = 1500 * time.Millisecond
	// answerIn is the time for an answer beyond the wait. News that the call should have brought counts as told 2 s after
	// its wait has ended, so a call that says nothing for longer has failed.
	connectIn = time.Second
	bodyMost  = 8 << 20
	path      = "/catalog/members"
)

// errMoved ends a call at an address that is discovery's no longer.
var errMoved = errors.New("discovery has another address")

// Watcher implements engine.Lister.
type Watcher struct {
	logger *log.Logger
	post   func(engine.Event)
	kick   chan struct{}

	mu   sync.Mutex         // guards what follows: SetAddr and the end of the program cut a waiting call
	addr string             // of the service
	conn netpoll.Connection // nil: none

	// Run's goroutine alone uses these.
	asked   string // the address that the last call went to
	version int64
	have    bool // a list of that address is held
}

// New returns a Watcher of the service at addr. known is the list as last held; nil: none.
func New(addr string, known *Members, logger *log.Logger) *Watcher {
	w := &Watcher{addr: addr, asked: addr, logger: logger, kick: make(chan struct{}, 1)}
	if known != nil && len(known.Servers) > 0 {
		w.version, w.have = known.Version, true
	}
	return w
}

// Connect sets where lists go before Run.
func (w *Watcher) Connect(post func(engine.Event)) { w.post = post }

// Watch implements engine.Lister.
func (w *Watcher) Watch() {
	select {
	case w.kick <- struct{}{}:
	default: // one is asked for already
	}
}

// SetAddr names the service's new address. A call at the old one ends now, and the new one is asked at once for
// the whole list: no news of the old one is waited for, nor is a change lost between the two.
func (w *Watcher) SetAddr(addr string) {
	w.mu.Lock()
	moved := addr != w.addr
	w.addr = addr
	w.mu.Unlock()
	if moved {
		w.close()
		w.Watch()
	}
}

// current is the service's address now.
func (w *Watcher) current() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.addr
}

// Run carries watches out until ctx is done. When one fails it says so and waits to be asked again, as the
// rules decide when that is.
func (w *Watcher) Run(ctx context.Context) {
	defer w.close()
	// A call may wait for many seconds yet; a program that stops must not.
	defer context.AfterFunc(ctx, w.close)()
	for {
		select {
		case <-ctx.Done():
			return
		case <-w.kick:
		}
		for ctx.Err() == nil {
			m, err := w.call()
			if ctx.Err() != nil {
				return
			}
			if w.current() != w.asked {
				continue // whatever came of a call at the old address is not to be gone by
			}
			if err != nil {
				w.close()
				select { // what was asked for before this failure is no wish to call again at once
				case <-w.kick:
				default:
				}
				w.logger.Printf("msg=%q addr=%s err=%q", "list not told", w.asked, err)
				w.post(engine.List{Mode: rules.Failed})
				break
			}
			mode := rules.Changes
			if m.Full {
				mode = rules.Complete
			}
			if m.Full || len(m.Servers) > 0 {
				w.logger.Printf("msg=list version=%d full=%t servers=%d", m.Version, m.Full, len(m.Servers))
			}
			w.version, w.have = m.Version, true
			w.post(m.List(mode))
		}
	}
}

func (w *Watcher) close() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.conn != nil {
		w.conn.Close()
		w.conn = nil
	}
}

// connect returns the connection for the next call. One to another address gives no list to go on from.
func (w *Watcher) connect() (netpoll.Connection, error) {
	w.mu.Lock()
	addr, conn := w.addr, w.conn
	w.mu.Unlock()
	if addr != w.asked {
		w.asked, w.have = addr, false
	}
	if conn != nil && conn.IsActive() {
		return conn, nil
	}
	w.close()
	conn, err := netpoll.DialConnection("tcp", addr, connectIn)
	if err != nil {
		return nil, err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.addr != addr { // SetAddr did not see this connection
		conn.Close()
		return nil, errMoved
	}
	w.conn = conn
	return conn, nil
}

// call asks once: for what is new, or where no list is held for the whole of it.
func (w *Watcher) call() (*Members, error) {
	conn, err := w.connect()
	if err != nil {
		return nil, err
	}
	target, within := path, answerIn
	if w.have {
		target = fmt.Sprintf("%s?after=%d&wait_ms=%d", path, w.version, waitFor.Milliseconds())
		within += waitFor
	}
	conn.SetWriteTimeout(connectIn)
	conn.SetReadDeadline(time.Now().Add(within))
	out := conn.Writer()
	for _, part := range []string{"GET ", target, " HTTP/1.1\r\nHost: ", w.asked, "\r\nAccept: application/json\r\n\r\n"} {
		if _, err := out.WriteString(part); err != nil {
			return nil, err
		}
	}
	if err := out.Flush(); err != nil {
		return nil, err
	}
	status, body, keep, err := response(conn.Reader())
	if err != nil {
		return nil, err
	}
	if !keep {
		defer w.close()
	}
	if status != 200 {
		return nil, fmt.Errorf("status %d", status)
	}
	m, err := Parse(body)
	conn.Reader().Release()
	return m, err
}

// response reads a response. The head is parsed where it stands in the reader's buffer; the body is valid until the
// reader's Release.
func response(r netpoll.Reader) (status int, body []byte, keep bool, err error) {
	h, err := await(r, parseHead)
	if err != nil {
		return 0, nil, false, err
	}
	switch {
	case h.chunked:
		body, err = chunks(r)
	case h.length >= 0:
		body, err = r.Next(h.length)
	default: // up to the end of the connection
		h.closes = true
		for len(body) <= bodyMost && err == nil {
			var part []byte
			if _, err = r.Peek(1); err == nil {
				if part, err = r.Next(r.Len()); err == nil {
					body = append(body, part...)
				}
			}
		}
		if errors.Is(err, netpoll.ErrEOF) {
			err = nil
		}
	}
	return h.status, body, !h.closes, err
}

// await reads on until parse finds its part whole, and takes that out of the buffer.
func await[T any](r netpoll.Reader, parse func([]byte) (T, int, error)) (T, error) {
	for n := 1; ; {
		n = max(n, r.Len())
		b, err := r.Peek(n)
		if err != nil {
			var none T
			return none, err
		}
		v, size, err := parse(b)
		if err != nil || size > 0 {
			if err == nil {
				err = r.Skip(size)
			}
			return v, err
		}
		n++
	}
}

func chunks(r netpoll.Reader) (body []byte, err error) {
	for {
		n, err := await(r, parseChunk)
		if err != nil {
			return nil, err
		}
		part, err := r.Next(n + 2) // and the line's end
		if err != nil {
			return nil, err
		}
		if string(part[n:]) != "\r\n" || len(body)+n > bodyMost {
			return nil, errHead
		}
		if n == 0 { // trailers are not used by discovery
			return body, nil
		}
		body = append(body, part[:n]...)
	}
}
