package codec_test

import (
	"fmt"

	"example.org/milletvane/internal/nats/codec"
)

func ExampleParse() {
	received := []byte("SUB orders.* workers 1\r\nPUB orders.new 5\r\nhello\r\nPUB ord")
	for {
		f, n, err := codec.Parse(received, codec.Limits{})
		if err != nil || n == 0 {
			fmt.Printf("%q is incomplete, error %v\n", received, err)
			return
		}
		fmt.Printf("subject %s, body %q\n", f.Subject, f.Body)
		received = received[n:]
	}
	// Output:
	// subject orders.*, body ""
	// subject orders.new, body "hello"
	// "PUB ord" is incomplete, error <nil>
}
