// Package model defines the immutable values shared by all packages: hosts,
// searchers, snapshots, requests, replies, answers and refusals.
//
// Values are passed by value and never modified after construction; WithX methods
// return a modified copy. The package is independent of any message encoding.
//
// # Usage
//
//	s := model.NewSnapshot("jury-desk", 7, shards)
//	r := model.NewRequest("r-1", "dastkar", "jury-desk").WithLimit(10)
package model

// HostID identifies an entry host.
type HostID string

// FailureDomain is the name of a set of machines that can fail together.
type FailureDomain string

// Region is the name of a set of failure domains.
type Region string

// ClientAccount is the name of a client account in the settings tree.
type ClientAccount string

// ServiceName identifies a service and the group of searchers that serve it.
type ServiceName string

// ScopeName identifies a search scope of a service.
type ScopeName string

// Revision is the number of accepted changes to the settings tree.
type Revision uint64

// Address is an IP address with a port.
type Address string

// EntryAddress is an entry host in an address answer to callers.
type EntryAddress struct {
	Host          HostID
	Address       Address
	FailureDomain FailureDomain
	// Weight is the relative share of requests that the host should get, at
	// least 1.
	Weight uint32
}

// Host is an entry host with its addresses.
type Host struct {
	ID HostID
	// Peer is the address for other hosts, and Entry the address for callers.
	Peer          Address
	Entry         Address
	FailureDomain FailureDomain
	Region        Region
	// Capacity is the processing capacity of the host in thousandths of a core,
	// or what its network link can use if that is less; 0 if it is not known.
	Capacity int
}
