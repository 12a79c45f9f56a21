// Package fakeserver provides in-process fakes of the balancer's peers for experiments and tests: the discovery
// service (Catalog), a server of the line protocol (LineServer) and NATS servers (NATSCluster, NATSEcho). They speak
// the published protocols on loopback, can be made to fail in various ways, and are not used by the balancer itself.
//
// Every fake owns its listener, its connections and the goroutines that serve them; Close ends all of these and waits
// for the goroutines, unless a method says otherwise. Exported methods may be called from any goroutine.
package fakeserver

import "net"

// anyLoopbackPort lets the kernel choose a free port.
const anyLoopbackPort = "127.0.0.1:0"

func listenLoopback() (net.Listener, error) { return net.Listen("tcp", anyLoopbackPort) }
