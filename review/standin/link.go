package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

// firstRetransmission is the time after which TCP first sends a segment again that was not acknowledged; each
// further time is twice as long (Linux).
const firstRetransmission = 200 * time.Millisecond

// cut is a partition of one machine. It begins and ends for all links of the machine at the same time.
type cut struct {
	mu         sync.Mutex
	active     bool
	healedAt   time.Time
	healedChan chan struct{}
}

func newCut() *cut { return &cut{healedChan: make(chan struct{})} }

func (c *cut) begin() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.active = true
}

func (c *cut) heal() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.active, c.healedAt = false, time.Now()
	close(c.healedChan)
}

func (c *cut) isActive() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.active
}

// healed returns when the cut ended, zero if it has not.
func (c *cut) healed() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.healedAt
}

// arrival returns when a segment that was sent during the cut arrives: at the first retransmission after
// its end. It waits for that end.
func (c *cut) arrival(sentAt time.Time) time.Time {
	<-c.healedChan
	at, step := sentAt, firstRetransmission
	for at.Before(c.healed()) {
		at, step = at.Add(step), 2*step
	}
	return at
}

// startLink returns the address of a proxy in front of a server or the store. The cut applies to the
// connections of the machine whose process of returns; nil stands for all connections.
func startLink(target string, c *cut, process func() int) string {
	l := listen()
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go serveLink(conn, target, c, process)
		}
	}()
	return l.Addr().String()
}

func serveLink(client net.Conn, target string, c *cut, process func() int) {
	if process != nil && !belongsTo(client, process()) {
		c = newCut()
	}
	if c.isActive() {
		// On a real link no connection could be opened during the cut: whatever is sent on this one is lost.
		_, _ = io.Copy(io.Discard, client)
		return
	}
	server, err := net.Dial("tcp", target)
	if err != nil {
		_ = client.Close()
		return
	}
	go forward(server, client, c)
	forward(client, server, c)
}

// forward copies what arrives from one end to the other. What is sent during a cut arrives after it, also if
// its sender has closed the connection since; it is lost if the sender resets the connection.
func forward(from, to net.Conn, c *cut) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			if c.isActive() {
				at := c.arrival(time.Now())
				time.Sleep(time.Until(at))
			}
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				_ = from.Close()
				return
			}
		}
		switch {
		case err == io.EOF:
			if tcp, ok := to.(*net.TCPConn); ok {
				_ = tcp.CloseWrite()
			}
			return
		case err != nil:
			_ = to.Close()
			return
		}
	}
}

// belongsTo reports whether the other end of a loopback connection is a socket of the process.
func belongsTo(conn net.Conn, pid int) bool {
	remote, ok := conn.RemoteAddr().(*net.TCPAddr)
	if !ok {
		return false
	}
	inode := socketInode(remote.Port, conn.LocalAddr().(*net.TCPAddr).Port)
	links, _ := filepath.Glob(fmt.Sprintf("/proc/%d/fd/*", pid))
	for _, link := range links {
		if name, err := os.Readlink(link); err == nil && inode != "" && name == "socket:["+inode+"]" {
			return true
		}
	}
	return false
}

// socketInode returns the inode of the socket with the two ports.
func socketInode(local, remote int) string {
	file, err := os.Open("/proc/net/tcp")
	if err != nil {
		unable("cannot read the list of connections: %v", err)
	}
	defer func() { _ = file.Close() }()
	lines := bufio.NewScanner(file)
	for lines.Scan() {
		fields := strings.Fields(lines.Text())
		if len(fields) > 9 && strings.HasSuffix(fields[1], fmt.Sprintf(":%04X", local)) && strings.HasSuffix(fields[2], fmt.Sprintf(":%04X", remote)) {
			return fields[9]
		}
	}
	return ""
}
