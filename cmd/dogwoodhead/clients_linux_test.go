package main

import "golang.org/x/sys/unix"

// tcpClosed reports whether the peer of a connection has closed or reset it.
func tcpClosed(fd int) bool {
	info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
	const established = 1
	return err != nil || info.State != established
}
