package fleet_test

import (
	"net"
	"testing"

	"github.com/pimentohinge/pimentohinge/internal/standin/fleet"
)

// TestLoopbackAddressIsReserved checks that no other program can listen at an address
// before the process that it was chosen for does, and that this process can listen there
// again after a restart.
func TestLoopbackAddressIsReserved(t *testing.T) {
	hosts := fleet.NewLoopback()
	addr, err := hosts.Address("10.0.0.1")
	if err != nil {
		t.Fatal(err)
	}
	if ln, err := net.Listen("tcp", addr); err == nil {
		_ = ln.Close()
		t.Errorf("another listener could be opened at the reserved address %s", addr)
	}
	for range 2 {
		ln, err := hosts.Host("10.0.0.1").Listen(addr)
		if err != nil {
			t.Fatal(err)
		}
		if got := ln.Addr().String(); got != addr {
			t.Errorf("listener at %s, want %s", got, addr)
		}
		if err := ln.Close(); err != nil {
			t.Fatal(err)
		}
	}
}
