package receiver

import (
	"net"
	"time"

	"golang.org/x/sys/unix"
)

// kernelTick is the longest tick by which kernels count: they may count one too many.
const kernelTick = 10 * time.Millisecond

// arrivedAt returns when the newest bytes on a connection reached this machine: they may have waited for
// this process, or for the connection to be accepted. It is never too early; it is now if that is not known.
func arrivedAt(now time.Time, c net.Conn) time.Time {
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		return now
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return now
	}
	var info *unix.TCPInfo
	var infoErr error
	err = raw.Control(func(fd uintptr) {
		info, infoErr = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
	})
	if err != nil || infoErr != nil {
		return now
	}
	return now.Add(-max(time.Duration(info.Last_data_recv)*time.Millisecond-kernelTick, 0))
}
