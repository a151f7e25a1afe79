package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

type (
	// host is one machine of the system with a process of the project.
	host struct {
		name, ip, zone string
		// disk is set if the machine has a disk; folder is where it is.
		disk   bool
		folder string
		cmd    *exec.Cmd
		ended  chan struct{}
	}

	// fleet is a small deployment: hosts with the same ports on different loopback addresses.
	fleet struct {
		program string
		folder  string
		record  *record
		block   string
		ports   map[string]int
		hosts   []*host
		nextIP  int
	}
)

// Ports of a fleet, by what they serve. The fleet port is the first of rangePorts ones.
const (
	frontPort   = "front"
	readyPort   = "ready"
	controlPort = "control"
	fleetPort   = "fleet"
	rangePorts  = 16
	// operatorTimeout is how long an operator waits for a response before it calls another host.
	operatorTimeout = time.Second
	startTimeout    = 40 * time.Second
	pollInterval    = 50 * time.Millisecond
)

var errTimeout = errors.New("not in time")

// newFleet chooses free loopback addresses and ports.
func newFleet(program, folder string, rec *record) *fleet {
	f := &fleet{
		program: program, folder: folder, record: rec, nextIP: 10,
		block: fmt.Sprintf("127.%d.%d.", 1+rand.IntN(250), 1+rand.IntN(250)),
	}
	for {
		base := 20000 + rand.IntN(20000)
		if f.portsFree(base) {
			f.ports = map[string]int{frontPort: base, readyPort: base + 1, controlPort: base + 2, fleetPort: base + 3}
			return f
		}
	}
}

func (f *fleet) portsFree(base int) bool {
	for port := base; port < base+3+rangePorts; port++ {
		l, err := net.Listen("tcp", fmt.Sprintf("%s1:%d", f.block, port))
		if err != nil {
			return false
		}
		_ = l.Close()
	}
	return true
}

// freeIP returns a loopback address that this fleet doesn't use yet.
func (f *fleet) freeIP() string {
	f.nextIP++
	return fmt.Sprintf("%s%d", f.block, f.nextIP)
}

// addHost adds a machine without starting it.
func (f *fleet) addHost(zone string, disk bool) *host {
	h := &host{name: fmt.Sprintf("front-%s-%d", zone, len(f.hosts)+1), ip: f.freeIP(), zone: zone, disk: disk}
	if disk {
		h.folder = filepath.Join(f.folder, h.name)
	}
	f.hosts = append(f.hosts, h)
	return h
}

func (f *fleet) address(h *host, port string) string {
	return fmt.Sprintf("%s:%d", h.ip, f.ports[port])
}

// start starts the process of a machine as the deploy file says.
func (f *fleet) start(h *host, bootstrap bool) error {
	var seeds []string
	for _, other := range f.hosts {
		if len(seeds) < 3 && other.disk {
			seeds = append(seeds, f.address(other, controlPort))
		}
	}
	settings := render("settings.json.tmpl", map[string]any{
		"Name": h.name, "IP": h.ip, "Zone": h.zone, "FleetPort": f.ports[fleetPort], "LastPort": f.ports[fleetPort] + rangePorts - 1,
		"Seeds": seeds, "Bootstrap": bootstrap, "Disk": h.disk, "Folder": h.folder,
		"Front": f.address(h, frontPort), "Ready": f.address(h, readyPort), "Control": f.address(h, controlPort),
	})
	path := filepath.Join(f.folder, h.name+".json")
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		return err
	}
	if h.disk {
		if err := os.MkdirAll(h.folder, 0o700); err != nil {
			return err
		}
	}
	log, err := os.OpenFile(filepath.Join(f.folder, h.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(f.program, "platform")
	cmd.Env = append(os.Environ(), fields.SettingsVariable+"="+path)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	h.cmd, h.ended = cmd, ended
	go func() {
		_ = cmd.Wait()
		_ = log.Close()
		close(ended)
	}()
	f.record.add("start %s at %s", h.name, h.ip)
	return nil
}

// startAll starts all machines for the first time and waits until the configuration is in force.
func (f *fleet) startAll(configuration string) error {
	for _, h := range f.hosts {
		if err := f.start(h, true); err != nil {
			return err
		}
	}
	if err := f.putConfiguration(configuration); err != nil {
		return err
	}
	return f.awaitReady(f.hosts...)
}

// end ends all processes.
func (f *fleet) end() {
	for _, h := range f.hosts {
		if h.cmd != nil {
			_ = h.cmd.Process.Kill()
			<-h.ended
		}
	}
}

// putConfiguration sends a configuration to one machine after another until it is acknowledged.
func (f *fleet) putConfiguration(body string) error {
	for end := time.Now().Add(startTimeout); time.Now().Before(end); time.Sleep(pollInterval) {
		for _, h := range f.hosts {
			status, _ := callControl(f.address(h, controlPort), http.MethodPut, "/config", body)
			if status == http.StatusOK {
				f.record.add("configuration acknowledged by %s", h.name)
				return nil
			}
		}
	}
	return fmt.Errorf("configuration is not acknowledged: %w", errTimeout)
}

// awaitReady waits until the machines say that they are ready.
func (f *fleet) awaitReady(hosts ...*host) error {
	for _, h := range hosts {
		if !eventually(func() bool { return f.isReady(h) }) {
			return fmt.Errorf("%s is not ready: %w", h.name, errTimeout)
		}
	}
	return nil
}

func (f *fleet) isReady(h *host) bool {
	status, _ := callControl(f.address(h, readyPort), http.MethodGet, "/ready", "")
	return status == http.StatusOK
}

// eventually waits until condition returns true, and reports whether it did in time.
func eventually(condition func() bool) bool {
	for end := time.Now().Add(startTimeout); time.Now().Before(end); time.Sleep(pollInterval) {
		if condition() {
			return true
		}
	}
	return false
}

// callControl calls an address as the operator, the platform or a backend server does, and returns status
// and body; status 0 without a response.
func callControl(address, method, path, body string) (status int, answer string) {
	ctx, cancel := context.WithTimeout(context.Background(), operatorTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewBufferString(body))
	if err != nil {
		return 0, ""
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := controlClient.Do(req)
	if err != nil {
		return 0, ""
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, ""
	}
	return resp.StatusCode, string(data)
}

var controlClient = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
