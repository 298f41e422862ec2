package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"
)

// daemon is one process of the system, started with the command of the deploy file.
type daemon struct {
	w        *world
	name     string
	zone     string
	ip       string
	frontend string
	ready    string
	control  string
	relay    string
	settings string
	door     *door
	process  *exec.Cmd
	exited   chan struct{}
	log      *os.File
}

// freePorts returns different addresses with free ports of a loopback address.
func freePorts(ip string, count int) []string {
	var out []string
	for range count {
		ln, err := net.Listen("tcp", ip+":0")
		must(err)
		defer func() { _ = ln.Close() }()
		out = append(out, ln.Addr().String())
	}
	return out
}

// world is a small deployment.
type world struct {
	dir      string
	program  string
	rec      *recorder
	st       *store
	groups   []*group
	daemons  []*daemon
	memoryMB int
	isOver   bool
}

func newWorld(dir string) *world {
	temp, err := os.MkdirTemp("", "review-")
	must(err)
	w := &world{dir: temp, program: "target/banyanspringd", rec: newRecorder(filepath.Join(dir, "record.txt")), memoryMB: 284}
	w.st = newStore(w.rec)
	w.st.failover = func(service, id string, token uint64) int {
		for _, gr := range w.groups {
			if gr.name == service {
				return gr.failover(id, token)
			}
		}
		return 404
	}
	return w
}

func (w *world) addGroup(name string) *group {
	gr := newGroup(name, w.st, w.rec)
	w.groups = append(w.groups, gr)
	return gr
}

type route struct{ Database, Type, Service string }

func (w *world) putConfig(version int, connections int, routes ...route) {
	var list, services []map[string]any
	for _, ro := range routes {
		list = append(list, map[string]any{
			"name": "r-" + ro.Database, "database": ro.Database, "type": ro.Type, "timeout-ms": 800, "target-latency-ms": 500,
			"priority": 1, "service": ro.Service, "max-staleness-ms": 2500,
		})
	}
	for _, gr := range w.groups {
		services = append(services, map[string]any{"name": gr.name, "max-connections": connections, "sync-replicas": 1})
	}
	w.st.put("config", "main", map[string]any{
		"version": version, "routes": list, "services": services, "limits": map[string]any{"tx-idle-ms": 3000},
	})
}

// addDaemon starts a daemon on a loopback address of its own.
func (w *world) addDaemon(zone string) *daemon {
	num := len(w.daemons) + 1
	ip := fmt.Sprintf("127.0.%d.%d", 40+os.Getpid()%200, num)
	da := &daemon{w: w, name: fmt.Sprintf("edge-%s-%d", zone, num), zone: zone, ip: ip}
	ports := freePorts(ip, 4)
	da.frontend, da.ready, da.control, da.relay = ports[0], ports[1], ports[2], ports[3]
	da.door = w.st.openDoor()
	da.settings = filepath.Join(w.dir, da.name+".yaml")
	w.daemons = append(w.daemons, da)
	return da
}

// writeSettings writes the settings files of all daemons.
func (w *world) writeSettings() {
	var seeds []string
	for _, da := range w.daemons {
		seeds = append(seeds, fmt.Sprintf("  - %q", da.control))
	}
	seeds = seeds[:min(len(seeds), 3)]
	for _, da := range w.daemons {
		port := da.relay[strings.LastIndex(da.relay, ":")+1:]
		text := fmt.Sprintf(`node-name: %q
role: "proxy"
machine-class: "edge"
serves: ["edge", "control_plane"]
ip: %q
zone: %q
region: "almaty"
zones:
  za: "almaty"
  zb: "almaty"
  zc: "almaty"
listen-addrs:
  frontend: %q
  ready: %q
  control: %q
internal-ports: [%s, %s]
seeds:
%s
bootstrap: true
limits: {cpu-share: 0.4, cores: 1, memory-mb: %d, max-fds: 4300, bandwidth-mbps: 1000.0, disk-mb: 0}
heartbeat-ms: 1200
contracts: ["base", "drain", "config", "cost", "recover", "sql", "platform"]
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
platform: {address: %q, form: "objects", writes-per-s: 400, reads-per-s: 2000, retention-s: 20, value-bytes: 1048576, min-ttl-ms: 1000}
cloud: {address: %q, rate-per-s: 50.0, duties: ["failover"], duty-per-s: 50.0}
`, da.name, da.ip, da.zone, da.frontend, da.ready, da.control, port, port, strings.Join(seeds, "\n"), w.memoryMB, da.door.address, w.st.address)
		must(os.WriteFile(da.settings, []byte(text), 0o600))
	}
}

func (da *daemon) start() {
	var err error
	da.log, err = os.OpenFile(filepath.Join(da.w.dir, da.name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	must(err)
	da.process = exec.Command(da.w.program)
	da.process.Env = []string{"BANYANSPRING_BOOT=" + da.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	da.process.Stdout, da.process.Stderr = da.log, da.log
	must(da.process.Start())
	da.exited = make(chan struct{})
	go func() {
		_ = da.process.Wait()
		close(da.exited)
	}()
	da.w.rec.add("daemon %s starts", da.name)
}

// kill ends the process at once.
func (da *daemon) kill() {
	if da.process == nil {
		return
	}
	_ = da.process.Process.Kill()
	<-da.exited
	da.w.rec.add("daemon %s is killed", da.name)
}

func (da *daemon) isReady() bool {
	cl := http.Client{Timeout: 500 * time.Millisecond}
	rs, err := cl.Get("http://" + da.ready + "/banyanspring/readiness")
	if err != nil {
		return false
	}
	_ = rs.Body.Close()
	return rs.StatusCode == http.StatusOK
}

// startAll starts all daemons and waits until they are ready.
func (w *world) startAll() {
	w.writeSettings()
	for _, da := range w.daemons {
		da.start()
	}
	w.awaitReady()
}

func (w *world) awaitReady() {
	for until := time.Now().Add(20 * time.Second); ; time.Sleep(50 * time.Millisecond) {
		count := 0
		for _, da := range w.daemons {
			if da.isReady() {
				count++
			}
		}
		if count == len(w.daemons) {
			return
		}
		if time.Now().After(until) {
			for _, da := range w.daemons {
				raw, _ := os.ReadFile(filepath.Join(w.dir, da.name+".log"))
				w.rec.add("daemon %s: ready %v, the end of its log: %s", da.name, da.isReady(), raw[max(0, len(raw)-600):])
			}
			w.fail("the daemons are not ready after 20 s")
		}
	}
}

// stop ends all daemons.
func (w *world) stop() {
	for _, da := range w.daemons {
		da.kill()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.dir)
	}
}

// fail ends the script because the case could not run.
func (w *world) fail(format string, args ...any) {
	w.rec.add("could not run: "+format, args...)
	fmt.Printf("could not run: "+format+"\n", args...)
	if os.Getenv("KEEP") != "" {
		fmt.Println(w.dir)
	}
	w.stop()
	os.Exit(2)
}

// finish ends the script: with 1 if the rule was broken.
func (w *world) finish(broken bool, format string, args ...any) {
	verdict := "held"
	if broken {
		verdict = "BROKEN"
	}
	text := verdict + ": " + fmt.Sprintf(format, args...)
	w.rec.add("%s", text)
	fmt.Println(text)
	w.stop()
	if broken {
		os.Exit(1)
	}
	os.Exit(0)
}
