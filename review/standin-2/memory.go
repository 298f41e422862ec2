package main

import (
	"bufio"
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// valuesPerSession and valueBytes are what a session of a consumer sets.
	valuesPerSession = 10
	valueBytes       = 1_000_000
	// sessionsAtOnce is how many such sessions are open at the same time, each from an address of
	// its own.
	sessionsAtOnce = 6
	// endsWanted is how often a process must end on each of two machines.
	endsWanted = 3
	// memoryFor is how long consumers go on.
	memoryFor = 90 * time.Second
)

// runMemory has consumers open sessions, set values, read in a transaction and end. The script is
// the platform that kills a process above memory-mb. Without the disruption the values are short.
func runMemory(dir string, trouble bool) {
	w := newWorld(dir)
	var routes []route
	for num := range 3 {
		gr := w.addGroup(fmt.Sprintf("huvo1%da", num))
		for pos, zone := range []string{"za", "zb", "zc"} {
			gr.add(fmt.Sprintf("i-%c%09d", "abc"[pos], num), zone, 4)
		}
		routes = append(routes,
			route{fmt.Sprintf("lepu%d", num), "primary", gr.name}, route{fmt.Sprintf("nova%d", num), "bounded_staleness", gr.name})
	}
	w.putConfig(3, 32, routes...)
	for _, zone := range []string{"za", "zb", "zc"} {
		w.addDaemon(zone)
	}
	w.startAll()
	time.Sleep(2 * time.Second)
	size := valueBytes
	if !trouble {
		size = 1000
	}
	value := strings.Repeat("v", size)
	until := time.Now().Add(memoryFor)
	ends := make([]int, 2)
	peaks := make([]int, 2)
	var wg sync.WaitGroup
	for pos := range ends {
		wg.Add(1)
		go func() {
			defer wg.Done()
			ends[pos], peaks[pos] = w.wearDown(w.daemons[pos], pos, routes, value, until)
		}()
	}
	wg.Wait()
	broken := ends[0] >= endsWanted && ends[1] >= endsWanted
	w.finish(broken, "processes above memory-mb %d: %d and %d times on two of three machines; highest resident memory %d and %d MB",
		w.memoryMB, ends[0], ends[1], peaks[0], peaks[1])
}

// wearDown opens sessions at one daemon until its process was killed endsWanted times. It returns
// how often that was, and the highest resident memory seen.
func (w *world) wearDown(da *daemon, pos int, routes []route, value string, until time.Time) (ends, peak int) {
	for ends < endsWanted && time.Now().Before(until) {
		for _, ro := range routes {
			w.useSessions(da, pos, ro, value)
			resident := residentMB(da.process.Process.Pid)
			peak = max(peak, resident)
			w.rec.add("daemon %s has %d MB resident after the sessions on %s ended", da.name, resident, ro.Database)
			if resident > w.memoryMB {
				ends++
				w.rec.add("platform: daemon %s is above memory-mb and is killed", da.name)
				da.kill()
				time.Sleep(500 * time.Millisecond)
				da.start()
				for limit := time.Now().Add(10 * time.Second); !da.isReady() && time.Now().Before(limit); {
					time.Sleep(50 * time.Millisecond)
				}
				time.Sleep(time.Second)
				break
			}
		}
	}
	return ends, peak
}

// useSessions opens sessions that set values and read in a transaction, and ends them.
func (w *world) useSessions(da *daemon, pos int, ro route, value string) {
	var wg sync.WaitGroup
	done := make(chan struct{})
	var ready sync.WaitGroup
	for num := range sessionsAtOnce {
		wg.Add(1)
		ready.Add(1)
		go func() {
			defer wg.Done()
			source := net.IPv4(127, 0, byte(2+pos), byte(1+num))
			cl, err := w.dialFrom(source, fmt.Sprintf("desk%d%d", pos, num), da.frontend, ro.Database)
			if err != nil {
				w.rec.add("consumer at %s has no session: %v", source, err)
				ready.Done()
				return
			}
			defer cl.close()
			failed := ""
			for val := range valuesPerSession {
				if an := cl.ask(fmt.Sprintf("%s-s%d", cl.name, val), fmt.Sprintf("SET v%d %s", val, value)); an.failure != nil || an.err != "" {
					failed = an.String()
				}
			}
			begin := "BEGIN"
			if ro.Type != "primary" {
				begin = "BEGIN READ"
			}
			cl.ask(cl.name+"-b", begin)
			an := cl.ask(cl.name+"-r", "READ 1a4")
			w.rec.add("consumer %s at %s sets %d values of %d bytes %s, sends BEGIN and READ; gets %s", cl.name, source, valuesPerSession, len(value), failed, an)
			ready.Done()
			<-done
		}()
	}
	ready.Wait()
	close(done)
	wg.Wait()
	time.Sleep(200 * time.Millisecond)
}

// dialFrom opens a session from a source address.
func (w *world) dialFrom(source net.IP, name, address, database string) (*client, error) {
	dialer := net.Dialer{Timeout: time.Second, LocalAddr: &net.TCPAddr{IP: source}}
	raw, err := dialer.Dial("tcp", address)
	if err != nil {
		return nil, err
	}
	cl := &client{w: w, name: name, raw: raw, rd: bufio.NewReaderSize(raw, 4<<10)}
	_ = raw.SetDeadline(time.Now().Add(3 * time.Second))
	_, _ = fmt.Fprintf(raw, "STARTUP %s %s\r\n", database, name)
	line, err := cl.rd.ReadString('\n')
	if err == nil && !strings.HasPrefix(line, "READY ") {
		err = fmt.Errorf("%s", strings.TrimSpace(line))
	}
	return cl, err
}

// residentMB returns the resident memory of a process.
func residentMB(pid int) int {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(raw), "\n") {
		if fields := strings.Fields(line); len(fields) > 1 && fields[0] == "VmRSS:" {
			kb, _ := strconv.Atoi(fields[1])
			return kb / 1024
		}
	}
	return 0
}
