package main

import (
	"net"
	"syscall"
)

// reserve keeps a loopback address for this program while nobody listens there, so that no other program gets its port: connections to it
// are refused. release gives it back.
func reserve(address string) (release func(), err error) {
	tcp, err := net.ResolveTCPAddr("tcp4", address)
	if err != nil {
		return nil, err
	}
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, err
	}
	release = func() { _ = syscall.Close(fd) }
	// Connections that were open at the address may still be ending.
	if err = syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1); err == nil {
		to := &syscall.SockaddrInet4{Port: tcp.Port}
		copy(to.Addr[:], tcp.IP.To4())
		err = syscall.Bind(fd, to)
	}
	if err != nil {
		release()
		return nil, err
	}
	return release, nil
}
