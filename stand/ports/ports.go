// Package ports finds free TCP ports for processes under test whose addresses are
// configured before they listen. Ports are picked at random below the kernel's
// ephemeral range: an ephemeral port could be taken by an outgoing connection before
// the process listens on it.
//
// # Usage
//
//	list, err := ports.Free("127.0.0.1", 3)
package ports

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"strconv"
)

const (
	// minPort (inclusive) and endPort (exclusive) bound the ports that are tried. The
	// ephemeral range starts at 32768 by default.
	minPort = 10_000
	endPort = 32_000
	// attemptsPerPort is the maximum number of ports tried for each requested one.
	attemptsPerPort = 100
)

// Free returns n distinct ports of an IP address on which nothing listens.
func Free(ip string, n int) ([]int, error) {
	var list []int
	for range n * attemptsPerPort {
		if len(list) == n {
			return list, nil
		}
		port := minPort + rand.IntN(endPort-minPort)
		listener, err := new(net.ListenConfig).Listen(context.Background(), "tcp", net.JoinHostPort(ip, strconv.Itoa(port)))
		if err != nil {
			continue // the port is in use
		}
		defer func() { _ = listener.Close() }() // held open until the end to keep ports distinct
		list = append(list, port)
	}
	if len(list) < n {
		return nil, fmt.Errorf("found only %d of %d free ports on %s", len(list), n, ip)
	}
	return list, nil
}

// Address returns a host:port address with a free port.
func Address(ip string) (string, error) {
	list, err := Free(ip, 1)
	if err != nil {
		return "", err
	}
	return net.JoinHostPort(ip, strconv.Itoa(list[0])), nil
}
