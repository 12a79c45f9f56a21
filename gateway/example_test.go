package gateway_test

import (
	"context"
	"fmt"
	"log/slog"
	"time"

	"example.org/milletvane/config"
	"example.org/milletvane/gateway"
)

// A program that embeds the balancer parses a configuration, and runs a gateway until its context is done.
func ExampleGateway() {
	text := `{"name":"n1","listen":"127.0.0.1:0","discovery":"127.0.0.1:1"}`
	c, err := config.Parse([]byte(text), func(string) string { return "" })
	if err != nil {
		fmt.Println(err)
		return
	}
	g, err := gateway.New(*c, gateway.WithLogger(slog.New(slog.DiscardHandler)))
	if err != nil {
		fmt.Println(err)
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	fmt.Println("ready before Run:", g.Ready())
	fmt.Println("error of Run:", g.Run(ctx))
	// Output:
	// ready before Run: false
	// error of Run: <nil>
}
