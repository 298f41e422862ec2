package main

import (
	"bufio"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// linkDelay is the time that a byte takes one way between two regions on the users' sheets.
	linkDelay = 8 * time.Millisecond
	// userTimeout is how long sent bytes of an instance may stay unacknowledged, as the instance sets
	// it on its connections; the kernel of this machine cannot see that a link holds them up.
	userTimeout = 600 * time.Millisecond
	// lossTime is how much later a packet arrives that is lost three times: it is sent again after 0.2, 0.4
	// and 0.8 s.
	lossTime = 1400 * time.Millisecond
)

// links holds the links from instances to databases, which may be cut.
type links struct {
	rec *recorder

	mu sync.Mutex
	// cut holds the pairs of instance and target that do not reach each other.
	cut map[[2]string]bool
	// lossy holds the pairs whose answers are late: their packets are lost several times.
	lossy map[[2]string]bool
	// owners finds the instance that has opened a connection.
	owners func(raw net.Conn) string
}

func newLinks(rec *recorder, owners func(raw net.Conn) string) *links {
	return &links{rec: rec, cut: make(map[[2]string]bool), lossy: make(map[[2]string]bool), owners: owners}
}

func (ls *links) setCut(instance, target string, isCut bool) {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	ls.cut[[2]string{instance, target}] = isCut
}

func (ls *links) isCut(instance, target string) bool {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	return ls.cut[[2]string{instance, target}]
}

func (ls *links) setLossy(instance, target string, isLossy bool) {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	ls.lossy[[2]string{instance, target}] = isLossy
}

// delay returns how long a packet takes to the instance.
func (ls *links) delay(instance, target string) time.Duration {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	if ls.lossy[[2]string{instance, target}] {
		return linkDelay + lossTime
	}
	return linkDelay
}

// listen opens the front address of a target, and returns it.
func (ls *links) listen(target, address string) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	go func() {
		for {
			raw, err := ln.Accept()
			if err != nil {
				return
			}
			go ls.carry(raw, target, address)
		}
	}()
	return ln.Addr().String()
}

// carry passes on the bytes of one connection in both directions.
func (ls *links) carry(raw net.Conn, target, address string) {
	instance := ls.owners(raw)
	far, err := net.Dial("tcp", address)
	if err != nil {
		_ = raw.Close()
		return
	}
	closeBoth := func() {
		_ = raw.Close()
		_ = far.Close()
	}
	go ls.pump(raw, far, instance, target, true, closeBoth)
	ls.pump(far, raw, instance, target, false, closeBoth)
}

type piece struct {
	data    []byte
	at, due time.Time
}

// pump passes bytes on after linkDelay, and holds them while the link is cut. Bytes of the instance that
// are held for longer than userTimeout end the connection.
func (ls *links) pump(from, to net.Conn, instance, target string, isSent bool, closeBoth func()) {
	defer closeBoth()
	queue := make(chan piece, 1000)
	go func() {
		defer close(queue)
		for {
			buf := make([]byte, 4096)
			num, err := from.Read(buf)
			if num > 0 {
				delay := linkDelay
				if !isSent {
					delay = ls.delay(instance, target)
				}
				now := time.Now()
				queue <- piece{buf[:num], now, now.Add(delay)}
			}
			if err != nil {
				return
			}
		}
	}()
	for pc := range queue {
		time.Sleep(time.Until(pc.due))
		for ls.isCut(instance, target) {
			if isSent && time.Since(pc.at) > userTimeout {
				return
			}
			time.Sleep(time.Millisecond)
		}
		if _, err := to.Write(pc.data); err != nil {
			return
		}
	}
}

// ownerOf returns which of the processes has opened the connection: that with the socket of the
// remote port.
func ownerOf(raw net.Conn, pids map[string]int) string {
	_, port, err := net.SplitHostPort(raw.RemoteAddr().String())
	must(err)
	number, _ := strconv.Atoi(port)
	inode := inodeOf(fmt.Sprintf(":%04X", number))
	for name, pid := range pids {
		found, _ := filepath.Glob(fmt.Sprintf("/proc/%d/fd/*", pid))
		for _, path := range found {
			if to, err := os.Readlink(path); err == nil && to == "socket:["+inode+"]" {
				return name
			}
		}
	}
	return ""
}

// inodeOf returns the inode of the socket with the local port, as /proc/net/tcp writes it.
func inodeOf(port string) string {
	file, err := os.Open("/proc/net/tcp")
	must(err)
	defer func() { _ = file.Close() }()
	rd := bufio.NewScanner(file)
	for rd.Scan() {
		fields := strings.Fields(rd.Text())
		if len(fields) > 9 && strings.HasSuffix(fields[1], port) && fields[9] != "0" {
			return fields[9]
		}
	}
	return ""
}
