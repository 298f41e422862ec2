package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// program is what the deploy file runs.
const program = "target/banyanspringd"

// daemon is one process of the system.
type daemon struct {
	name, zone, host string
	boot             string
	process          *exec.Cmd
	exited           chan struct{}
}

// fleet is the running system and the stand-ins around it.
type fleet struct {
	root, dir string
	store     *store
	failover  *failover
	groups    []*group
	daemons   []*daemon
	version   int
}

// newFleet returns a fleet of one daemon for each zone named, and groups of that many
// services. Nothing is started yet.
func newFleet(services int, zones ...string) *fleet {
	root, err := os.Getwd()
	if err != nil {
		giveUp("%v", err)
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		giveUp("%v", err)
	}
	fl := &fleet{root: root, dir: dir, store: newStore()}
	for num := range services {
		fl.groups = append(fl.groups, newGroup(fmt.Sprintf("svc%d", num), fl.store))
	}
	fl.failover = newFailover(fl.groups)
	prefix := freePrefix(len(zones))
	for num, zone := range zones {
		fl.daemons = append(fl.daemons, &daemon{name: fmt.Sprintf("edge-%s-%d", zone, num), zone: zone, host: fmt.Sprintf("%s.%d", prefix, num+1)})
	}
	return fl
}

// The ports of a daemon, at a loopback address of its own.
const (
	frontendPort = 8784
	readyPort    = 8785
	controlPort  = 8782
	internalPort = 7440
)

// freePrefix returns the first three numbers of loopback addresses whose ports are free.
func freePrefix(count int) string {
	for range 100 {
		prefix := fmt.Sprintf("127.%d.%d", 10+rand.IntN(200), 1+rand.IntN(250))
		isFree := true
		for num := range count {
			for _, port := range []int{frontendPort, readyPort, controlPort, internalPort} {
				ln, err := net.Listen("tcp", fmt.Sprintf("%s.%d:%d", prefix, num+1, port))
				if err != nil {
					isFree = false
					continue
				}
				_ = ln.Close()
			}
		}
		if isFree {
			return prefix
		}
	}
	giveUp("no free loopback addresses")
	return ""
}

// putConfig writes the next version of the configuration: for each service a route of type
// primary.
func (fl *fleet) putConfig() {
	fl.version += 3
	var routes, services []map[string]any
	for _, gr := range fl.groups {
		routes = append(routes, map[string]any{
			"name": gr.name + "-route", "database": gr.name + "-db", "type": "primary", "service": gr.name, "timeout-ms": 800,
			"target-latency-ms": 300, "priority": 1, "max-staleness-ms": 0,
		})
		services = append(services, map[string]any{"name": gr.name, "max-connections": connectionsMax, "sync-replicas": 1})
	}
	fl.store.put("config", "main", map[string]any{
		"version": fl.version, "routes": routes, "services": services, "limits": map[string]any{"tx-idle-ms": 3000},
	})
}

// settings returns a daemon's settings file.
func (fl *fleet) settings(da *daemon) string {
	region := map[string]string{"a": "r1", "b": "r1", "c": "r2"}[da.zone]
	var seeds strings.Builder
	for _, each := range fl.daemons[:min(3, len(fl.daemons))] {
		fmt.Fprintf(&seeds, "  - \"%s:%d\"\n", each.host, controlPort)
	}
	return fmt.Sprintf(`node-name: "%s"
role: "proxy"
machine-class: "edge"
serves: ["edge", "control_plane"]
ip: "%s"
zone: "%s"
region: "%s"
zones: {a: "r1", b: "r1", c: "r2"}
listen-addrs:
  frontend: "%[2]s:%[5]d"
  ready: "%[2]s:%[6]d"
  control: "%[2]s:%[7]d"
internal-ports: [%[8]d, %[9]d]
seeds:
%[10]sbootstrap: true
counts-as-loss: false
limits: {cpu-share: 0.4, cores: 1, memory-mb: 284, max-fds: 4300, bandwidth-mbps: 1000.0, disk-mb: 0}
data-dir: null
discovery: "platform"
entry: "vip"
heartbeat-ms: 1200
contracts: ["base", "drain", "config", "cost", "recover", "sql", "platform"]
fault-tolerance: {machines: 1, zones: 0, regions: 0}
bounds:
  seed-lag-s: 3
  address-reuse-s: 2
  contact-ms: 4000
  ack-ms: 5000
  catch-up-s: 4
  drain-ms: 7000
  grace-s: 6
  loss-slack-ms: 200
  config-apply-ms: 3000
  downgrade-slack-ms: 250
  max-skew-ms: 12000
  recovery-s: 12
  fencing-required: true
  thaw-ms: 300
platform: {address: "%[11]s", form: "objects", writes-per-s: 400, reads-per-s: 2000, retention-s: 20, value-bytes: 1048576, min-ttl-ms: 1000}
cloud: {address: "%[12]s", rate-per-s: 50.0, duties: ["failover"], duty-per-s: 50.0}
`, da.name, da.host, da.zone, region, frontendPort, readyPort, controlPort, internalPort, internalPort+15, seeds.String(),
		fl.store.address, fl.failover.address)
}

// start starts a daemon's process with the command of the deploy file.
func (fl *fleet) start(da *daemon) {
	da.boot = filepath.Join(fl.dir, da.name+".yaml")
	if err := os.WriteFile(da.boot, []byte(fl.settings(da)), 0o600); err != nil {
		giveUp("%v", err)
	}
	log, err := os.Create(filepath.Join(fl.dir, da.name+".log"))
	if err != nil {
		giveUp("%v", err)
	}
	da.process = exec.Command(filepath.Join(fl.root, program))
	da.process.Dir = fl.root
	da.process.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "BANYANSPRING_BOOT=" + da.boot}
	da.process.Stdout, da.process.Stderr = log, log
	da.process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := da.process.Start(); err != nil {
		giveUp("start %s: %v", program, err)
	}
	da.exited = make(chan struct{})
	go func(process *exec.Cmd, exited chan struct{}) {
		_ = process.Wait()
		_ = log.Close()
		close(exited)
	}(da.process, da.exited)
	record("%s starts", da.name)
}

func (da *daemon) isReady() bool {
	rs, err := http.Get(fmt.Sprintf("http://%s:%d/banyanspring/readiness", da.host, readyPort))
	if err != nil {
		return false
	}
	_ = rs.Body.Close()
	return rs.StatusCode == http.StatusOK
}

// awaitReady waits until all daemons are ready.
func (fl *fleet) awaitReady() {
	until := time.Now().Add(20 * time.Second)
	for _, da := range fl.daemons {
		for !da.isReady() {
			if time.Now().After(until) {
				giveUp("%s does not become ready", da.name)
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	record("all daemons are ready")
}

// fronts returns the addresses where consumers connect.
func (fl *fleet) fronts() []string {
	var out []string
	for _, da := range fl.daemons {
		out = append(out, fmt.Sprintf("%s:%d", da.host, frontendPort))
	}
	return out
}

// stop ends all processes, and adds what they say of changes of the primary to the record.
func (fl *fleet) stop() {
	for _, da := range fl.daemons {
		if da.process != nil {
			_ = da.process.Process.Signal(syscall.SIGTERM)
		}
	}
	for _, da := range fl.daemons {
		if da.process == nil {
			continue
		}
		select {
		case <-da.exited:
		case <-time.After(7 * time.Second):
			_ = da.process.Process.Kill()
			<-da.exited
		}
		fl.quote(da)
	}
	_ = os.RemoveAll(fl.dir)
}

// quote copies the log lines on changes of the primary to the record.
func (fl *fleet) quote(da *daemon) {
	raw, _ := os.ReadFile(filepath.Join(fl.dir, da.name+".log"))
	for line := range strings.Lines(string(raw)) {
		for _, word := range []string{"primary_suspected", "promotion_", "handover_done", "duty_", "panic", "fatal error"} {
			if strings.Contains(line, word) {
				record("log of %s: %s", da.name, strings.TrimSpace(line))
				break
			}
		}
	}
}
