// Package fakeserver provides in-process fakes of the services that the balancer connects to, for experiments and tests:
// the discovery service (Catalog), a server of the line protocol (LineServer) and NATS servers (NATSCluster, NATSEcho).
// They speak the published protocols on loopback and can be made to fail in various ways. The balancer does not use them.
//
// Every fake owns its listener, its connections and the goroutines that serve them. Close ends all of these and waits
// for the goroutines, unless its documentation says otherwise. Exported methods may be called from any goroutine.
package fakeserver

import "net"

// anyLoopbackPort lets the kernel choose a free port.
const anyLoopbackPort = "127.0.0.1:0"

func listenLoopback() (net.Listener, error) { return net.Listen("tcp", anyLoopbackPort) }
