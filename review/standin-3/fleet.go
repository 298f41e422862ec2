package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// recorder writes what was sent, answered and run.
type recorder struct {
	mu         sync.Mutex
	file       *os.File
	began      time.Time
	violations int
}

func (rc *recorder) add(format string, args ...any) {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	_, _ = fmt.Fprintf(rc.file, "%8.3f  %s\n", time.Since(rc.began).Seconds(), fmt.Sprintf(format, args...))
}

func (rc *recorder) violate(format string, args ...any) {
	rc.add("BROKEN "+format, args...)
	rc.mu.Lock()
	defer rc.mu.Unlock()
	rc.violations++
}

func (rc *recorder) broken() int {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	return rc.violations
}

// instance is one process of the system.
type instance struct {
	name, host, zone string
	process          *exec.Cmd
	exited           chan struct{}
	// isStopped is true once it was told to end.
	isStopped bool
}

// fleet is a small deployment: instances before the stand-ins of the store and of databases.
type fleet struct {
	rec       *recorder
	dir       string
	program   string
	store     *store
	group     *group
	links     *links
	mu        sync.Mutex
	instances []*instance
}

const zones = "abc"

// newFleet starts the stand-ins, three databases of which i-a leads, and the instances.
func newFleet(rec *recorder, program string, count int) *fleet {
	dir, err := os.MkdirTemp("", "case")
	must(err)
	fl := &fleet{rec: rec, dir: dir, program: program, group: newGroup(rec)}
	fl.store = newStore(fl.group, rec)
	fl.group.store = fl.store
	fl.links = newLinks(rec, fl.owner)
	for pos := range zones {
		zone := zones[pos : pos+1]
		fl.addDatabase("i-"+zone, zone, pos == 0)
	}
	go fl.group.run()
	fl.configure(1)
	for num := range count {
		fl.start(&instance{name: fmt.Sprint("edge-", num), host: fmt.Sprintf("127.%d.%d.%d", 100+os.Getpid()>>8&63, os.Getpid()&255, num+1), zone: zones[num%3 : num%3+1]})
		time.Sleep(60 * time.Millisecond)
	}
	return fl
}

func (fl *fleet) addDatabase(id, zone string, leads bool) *database {
	db := fl.group.add(id, zone, leads)
	db.front = fl.links.listen(id, db.address)
	db.register()
	return db
}

func (fl *fleet) configure(version int) {
	var routes []map[string]any
	for database, kind := range map[string]string{"strict": "primary", "bounded": "bounded_staleness", "own": "read_your_writes"} {
		routes = append(routes, map[string]any{
			"database": database, "type": kind, "service": serviceName, "timeout-ms": 800, "target-latency-ms": 500,
			"max-staleness-ms": 1500, "priority": 1,
		})
	}
	fl.store.put("config", "main", map[string]any{
		"version": version, "routes": routes, "limits": map[string]any{"tx-idle-ms": 8000},
		"services": []map[string]any{{"name": serviceName, "max-connections": maxConnections, "sync-replicas": 1}},
	})
}

func (fl *fleet) pids() map[string]int {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	out := make(map[string]int)
	for _, in := range fl.instances {
		out[in.name] = in.process.Process.Pid
	}
	return out
}

func (fl *fleet) owner(raw net.Conn) string { return ownerOf(raw, fl.pids()) }

const settings = `
node-name: "%[1]s"
role: "proxy"
machine-class: "edge"
serves: ["edge", "control_plane"]
ip: "%[2]s"
zone: "%[3]s"
region: "r"
zones: {a: "r", b: "r", c: "r"}
listen-addrs: {frontend: "%[2]s:8784", ready: "%[2]s:8785", control: "%[2]s:8782"}
internal-ports: [7440, 7455]
seeds: ["%[4]s:8782"]
bootstrap: true
limits: {cpu-share: 0.4, cores: 1, memory-mb: 284, max-fds: 4300, bandwidth-mbps: 1000.0, disk-mb: 0}
heartbeat-ms: 1200
contracts: ["base", "drain", "config", "cost", "recover", "sql", "platform"]
bounds: {seed-lag-s: 3, address-reuse-s: 2, contact-ms: 4000, ack-ms: 5000, catch-up-s: 4, drain-ms: 7000, grace-s: 6, loss-slack-ms: 200, config-apply-ms: 3000, downgrade-slack-ms: 250, max-skew-ms: 12000, recovery-s: 12, fencing-required: true, thaw-ms: 300}
platform: {address: "%[5]s", form: "objects", writes-per-s: 400, reads-per-s: 2000, retention-s: 20, value-bytes: 1048576, min-ttl-ms: 1000}
cloud: {address: "%[5]s", rate-per-s: 50.0, duties: ["failover"], duty-per-s: 50.0}
`

// start starts a process with the command of the deploy file.
func (fl *fleet) start(in *instance) {
	seed := in.host
	fl.mu.Lock()
	if len(fl.instances) > 0 {
		seed = fl.instances[0].host
	}
	fl.mu.Unlock()
	boot := filepath.Join(fl.dir, in.name+".yaml")
	must(os.WriteFile(boot, []byte(fmt.Sprintf(settings, in.name, in.host, in.zone, seed, fl.store.address)), 0o600))
	out, err := os.OpenFile(filepath.Join(fl.dir, in.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	must(err)
	process, exited := exec.Command(fl.program), make(chan struct{})
	process.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + fl.dir, "BANYANSPRING_BOOT=" + boot}
	process.Stdout, process.Stderr = out, out
	must(process.Start())
	_ = out.Close()
	go func() {
		_ = process.Wait()
		close(exited)
	}()
	fl.mu.Lock()
	defer fl.mu.Unlock()
	in.process, in.exited = process, exited
	for _, old := range fl.instances {
		if old == in {
			return
		}
	}
	fl.instances = append(fl.instances, in)
}

func (fl *fleet) signal(num int, sig syscall.Signal) {
	in := fl.instances[num]
	in.isStopped = in.isStopped || sig == syscall.SIGTERM
	fl.rec.add("signal %v to %s", sig, in.name)
	_ = in.process.Process.Signal(sig)
}

// stop ends all processes and returns whether one had ended by itself.
func (fl *fleet) stop() bool {
	hasEnded := false
	for _, in := range fl.instances {
		select {
		case <-in.exited:
			hasEnded = hasEnded || !in.isStopped
		default:
		}
		_ = in.process.Process.Signal(syscall.SIGCONT)
		_ = in.process.Process.Kill()
		<-in.exited
	}
	if dir := os.Getenv("KEEP_LOGS"); dir != "" {
		_ = os.CopyFS(dir, os.DirFS(fl.dir))
	}
	_ = os.RemoveAll(fl.dir)
	return hasEnded
}

// stopAtSignal ends all processes if this one is to end.
func (fl *fleet) stopAtSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	<-signals
	fl.stop()
	os.Exit(2)
}

func (fl *fleet) isReady(in *instance) bool {
	rs, err := http.Get("http://" + in.host + ":8785/banyanspring/readiness")
	if err != nil {
		return false
	}
	_ = rs.Body.Close()
	return rs.StatusCode == http.StatusOK
}

// awaitReady waits until all instances report ready.
func (fl *fleet) awaitReady() bool {
	return await(15*time.Second, func() bool {
		for _, in := range fl.instances {
			if !fl.isReady(in) {
				return false
			}
		}
		return true
	})
}

// await waits until the condition holds, and reports whether it does.
func await(limit time.Duration, holds func() bool) bool {
	for until := time.Now().Add(limit); time.Now().Before(until); time.Sleep(5 * time.Millisecond) {
		if holds() {
			return true
		}
	}
	return false
}
