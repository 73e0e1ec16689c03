package standin2

import (
	"errors"
	"fmt"
	"net"
	"syscall"
)

// reserve binds a loopback address without listening there, so that no other program and no connection gets its port; the system chooses
// the port where it is 0. Connections to it are refused until a process listens there, which it may while the port is reserved. release gives
// the port back.
func reserve(address string) (bound string, release func(), err error) {
	tcp, err := net.ResolveTCPAddr("tcp4", address)
	if err != nil {
		return "", nil, err
	}
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return "", nil, err
	}
	release = func() { _ = syscall.Close(fd) }
	// Connections that were open at the address may still be ending.
	if err = syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1); err == nil {
		to := &syscall.SockaddrInet4{Port: tcp.Port}
		copy(to.Addr[:], tcp.IP.To4())
		err = syscall.Bind(fd, to)
	}
	if err == nil {
		var name syscall.Sockaddr
		if name, err = syscall.Getsockname(fd); err == nil {
			if v4, ok := name.(*syscall.SockaddrInet4); ok {
				return fmt.Sprintf("127.0.0.1:%d", v4.Port), release, nil
			}
			err = errors.New("the socket has no IPv4 address")
		}
	}
	release()
	return "", nil, err
}
