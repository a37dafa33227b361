// Package model holds the immutable values that the rest of the program passes
// around: hosts, searchers, snapshots, requests, replies, answers and refusals.
//
// Values are passed by value and are never changed after construction; a WithX
// method returns a changed copy. The package knows nothing of any encoding.
//
// # Usage
//
//	s := model.NewSnapshot("jury-desk", 7, shards)
//	r := model.NewRequest("r-1", "dastkar", "jury-desk").WithLimit(10)
package model

// HostID names an entry host.
type HostID string

// FailureDomain names a set of machines that can fail together.
type FailureDomain string

// Region names a set of failure domains.
type Region string

// ClientAccount names an account in the settings tree.
type ClientAccount string

// ServiceName names a service and the group of searchers behind it.
type ServiceName string

// ScopeName names a search scope of a service.
type ScopeName string

// Revision counts accepted changes of the settings tree.
type Revision uint64

// Address is an IP address with a port.
type Address string

// EntryAddress is an entry host that callers may use.
type EntryAddress struct {
	Host          HostID
	Address       Address
	FailureDomain FailureDomain
	// Weight is the relative share of requests, at least 1.
	Weight uint32
}

// Host is an entry host with its addresses.
type Host struct {
	ID            HostID
	Peer          Address
	Entry         Address
	FailureDomain FailureDomain
	Region        Region
	// Capacity is the strength of the host in thousandths of a core, less if its
	// link is the narrower part; 0 if it is not known.
	Capacity int
}
