package netconn

import (
	"bytes"
	"errors"
	"flag"
	"net"
	"os"
	"sync"
	"testing"
	"time"

	"github.com/cloudwego/netpoll"
	"pgregory.net/rapid"

	"example.org/milletvane/internal/lineproto"
)

func TestMain(m *testing.M) {
	flag.Parse()
	flag.Set("rapid.seed", "7")
	flag.Set("rapid.checks", "30") // each opens a connection
	flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

// pair returns both ends of a connection; the first is a netpoll one.
func pair(t interface{ Fatal(...any) }) (*Conn, net.Conn) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	nc, err := netpoll.DialConnection("tcp", l.Addr().String(), 5*time.Second)
	if err != nil {
		t.Fatal(err)
	}
	far, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	return New(nc), far
}

// A relay may write to a side that has just been closed; that is an error and no panic.
func TestSendAfterClose(t *testing.T) {
	c, far := pair(t)
	defer far.Close()
	if err := c.Send([]byte("a"), []byte("b")); err != nil {
		t.Fatal(err)
	}
	c.Close()
	if err := c.Send([]byte("late")); err == nil {
		t.Error("a write to a closed connection did not fail")
	}
}

func TestSendWhileClosing(t *testing.T) {
	for range 50 {
		c, far := pair(t)
		var wg sync.WaitGroup
		wg.Go(func() {
			for c.Send([]byte("x")) == nil {
			}
		})
		wg.Go(func() { c.Close() })
		wg.Wait()
		far.Close()
	}
}

// The first line is found whatever pieces it comes in, and nothing is taken out of the buffer.
func TestLineSurvivesAnyCut(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c, far := pair(t)
		defer c.Close()
		defer far.Close()
		want := rapid.SliceOfN(rapid.ByteRange(' ', '~'), 0, 200).Draw(t, "line")
		msg := append(append(append([]byte{}, want...), '\r', '\n'), rapid.SliceOfN(rapid.Byte(), 0, 50).Draw(t, "more")...)
		cut := rapid.IntRange(0, len(msg)).Draw(t, "cut")
		go func() {
			far.Write(msg[:cut])
			far.Write(msg[cut:])
		}()
		for range 2 {
			got, err := Line(c, time.Now().Add(20*time.Second))
			if err != nil || !bytes.Equal(got, msg[:len(want)+2]) {
				t.Fatalf("%v: %q, want %q", err, got, msg[:len(want)+2])
			}
		}
	})
}

func TestLineEndsWithItsBounds(t *testing.T) {
	c, far := pair(t)
	defer c.Close()
	far.Write(bytes.Repeat([]byte("x"), lineproto.MaxLine))
	if _, err := Line(c, time.Now().Add(20*time.Second)); !errors.Is(err, lineproto.ErrTooLong) {
		t.Errorf("a line without end: %v", err)
	}
	Discard(c)
	if _, err := Line(c, time.Now().Add(time.Millisecond)); !IsTimeout(err) {
		t.Errorf("no line at all: %v", err)
	}
	far.Close()
	if _, err := Line(c, time.Now().Add(20*time.Second)); err == nil || IsTimeout(err) {
		t.Errorf("after the end: %v", err)
	}
}
