// Package ports finds TCP ports for processes under test that are told their
// addresses before they listen. Ports that the kernel gives out may be taken by
// an outgoing connection between the moment at which they are found and the one
// at which the process listens, so ports below that range are tried at random.
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
	// minPort and endPort bound the ports that are tried. The kernel gives out ports
	// from 32768 on by default.
	minPort = 10_000
	endPort = 32_000
	// attemptsPerPort bounds the ports that are tried for each one wanted.
	attemptsPerPort = 100
)

// Free returns distinct ports of an IP address on which nothing listens.
func Free(ip string, n int) ([]int, error) {
	var list []int
	for range n * attemptsPerPort {
		if len(list) == n {
			return list, nil
		}
		port := minPort + rand.IntN(endPort-minPort)
		listener, err := new(net.ListenConfig).Listen(context.Background(), "tcp", net.JoinHostPort(ip, strconv.Itoa(port)))
		if err != nil {
			continue // taken, try another one
		}
		defer func() { _ = listener.Close() }() // all at the end, so that no port comes twice
		list = append(list, port)
	}
	if len(list) < n {
		return nil, fmt.Errorf("found %d free ports of %s; wanted: %d", len(list), ip, n)
	}
	return list, nil
}

// Address returns an address with a free port.
func Address(ip string) (string, error) {
	list, err := Free(ip, 1)
	if err != nil {
		return "", err
	}
	return net.JoinHostPort(ip, strconv.Itoa(list[0])), nil
}
