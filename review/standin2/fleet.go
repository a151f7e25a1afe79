package main

import (
	_ "embed"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

type (
	// fleet is the program under test: hosts, each a process of its own on a loopback address, and the
	// stand-ins for backend servers. Only one goroutine starts and ends its processes.
	fleet struct {
		folder string
		record *record
		ports  [portCount]int
		hosts  []*host
		// servers holds the stand-ins that run, started the number of those that were.
		servers []*process
		started int
	}

	// host is one process of the program.
	host struct {
		process

		name, ip, zone string
		// folder is its disk; empty for a host without one.
		folder string
	}

	// process is a process that this program starts.
	process struct {
		cmd *exec.Cmd
	}
)

// Ports of a host, by what they serve. The hosts use two more ports among themselves.
const (
	frontPort = iota
	readyPort
	controlPort
	fleetPort
	metricsPort
	portCount
)

const (
	// program is the command of the deploy file, run in the folder of the repository.
	program = "target/verbenareach"
	// startTime bounds the start of all hosts.
	startTime = 25 * time.Second
	// callTimeout is how long an operator waits for a response.
	callTimeout = time.Second
	// pollInterval is the pause between checks of a condition.
	pollInterval = 50 * time.Millisecond
)

var (
	//go:embed settings.json
	settingsText []byte
	//go:embed configuration.json
	configurationText []byte

	errNotReady = errors.New("hosts did not become ready")
)

// newFleet prepares hubs hosts with a disk and thin ones without, in three zones.
func newFleet(folder string, r *record, hubs, thin int) (*fleet, error) {
	f := &fleet{folder: folder, record: r}
	zones := []string{"riga-a", "riga-b", "riga-c"}
	pid := os.Getpid()
	for i := range hubs + thin {
		h := &host{
			name: fmt.Sprintf("front-%d", i+1), zone: zones[i%len(zones)],
			ip: fmt.Sprintf("127.%d.%d.%d", 20+pid>>16&0x3f, pid>>8&0xff, 1+(pid&0x0f)*15+i),
		}
		if i < hubs {
			h.folder = filepath.Join(folder, h.name)
		}
		f.hosts = append(f.hosts, h)
	}
	return f, f.choosePorts()
}

// choosePorts chooses ports that are free on the address of each host.
func (f *fleet) choosePorts() error {
	first := f.hosts[0].ip
	for i := range f.ports {
		if i == metricsPort {
			f.ports[i] = f.ports[fleetPort] + 1
			continue
		}
		l, err := net.Listen("tcp", first+":0")
		if err != nil {
			return err
		}
		defer func() { _ = l.Close() }()
		f.ports[i] = l.Addr().(*net.TCPAddr).Port
	}
	return nil
}

// address returns an address of a host.
func (f *fleet) address(h *host, port int) string { return fmt.Sprintf("%s:%d", h.ip, f.ports[port]) }

// start starts all hosts for the first time and stores the configuration.
func (f *fleet) start() error {
	for _, h := range f.hosts {
		if err := f.startHost(h, true); err != nil {
			return err
		}
	}
	end := time.Now().Add(startTime)
	for version := configurationText; ; time.Sleep(pollInterval) {
		if f.configure(version) == nil {
			break
		}
		if time.Now().After(end) {
			return errNotReady
		}
	}
	for _, h := range f.hosts {
		for !f.isReady(h) {
			if time.Now().After(end) {
				return errNotReady
			}
			time.Sleep(pollInterval)
		}
	}
	f.record.add("hosts ready", "hosts", len(f.hosts))
	return nil
}

// startHost starts the process of a host with the settings that are in effect.
func (f *fleet) startHost(h *host, bootstrap bool) error {
	settings := make(map[string]any)
	if err := json.Unmarshal(settingsText, &settings); err != nil {
		return err
	}
	var seeds []string
	for _, other := range f.hosts {
		if other.folder != "" {
			seeds = append(seeds, f.address(other, controlPort))
		}
	}
	settings["node-name"], settings["ip"], settings["zone"] = h.name, h.ip, h.zone
	settings["port-range"] = []int{f.ports[fleetPort], f.ports[metricsPort]}
	settings["seeds"], settings["bootstrap"], settings["data-dir"] = seeds, bootstrap, h.folder
	settings["listen"] = map[string]string{
		"front": f.address(h, frontPort), "ready": f.address(h, readyPort), "control": f.address(h, controlPort),
	}
	text, err := json.Marshal(settings)
	if err != nil {
		return err
	}
	path := filepath.Join(f.folder, h.name+".json")
	if err := os.WriteFile(path, text, 0o600); err != nil {
		return err
	}
	if h.folder != "" {
		if err := os.MkdirAll(h.folder, 0o700); err != nil {
			return err
		}
	}
	return h.run(filepath.Join(f.folder, h.name+".log"), []string{names.Settings + "=" + path}, program, "platform")
}

// configure has a host store a configuration; the operator calls one host after the other.
func (f *fleet) configure(text []byte) error {
	var failures []error
	for _, h := range f.hosts {
		status, err := f.call(http.MethodPut, "http://"+f.address(h, controlPort)+"/config", text)
		if status == http.StatusOK {
			f.record.add("configuration acknowledged", "host", h.name)
			return nil
		}
		failures = append(failures, fmt.Errorf("%s: status %d: %w", h.name, status, err))
	}
	return errors.Join(failures...)
}

// call makes one call of an operator and returns the status of the response.
func (f *fleet) call(method, url string, body []byte) (status int, err error) {
	req, err := http.NewRequest(method, url, strings.NewReader(string(body)))
	if err != nil {
		return 0, err
	}
	req.Header.Set("Content-Type", "application/json")
	client := http.Client{Timeout: callTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		return 0, err
	}
	return resp.StatusCode, resp.Body.Close()
}

// isReady reports whether a host says that it is ready.
func (f *fleet) isReady(h *host) bool {
	status, _ := f.call(http.MethodGet, "http://"+f.address(h, readyPort)+"/ready", nil)
	return status == http.StatusOK
}

// startServer starts a stand-in for a backend server at an address and returns its id.
func (f *fleet) startServer(service, address string, options ...string) (id string, p *process, err error) {
	f.started++
	id = fmt.Sprintf("i-%s-%d", service, f.started)
	var control []string
	for _, h := range f.hosts {
		control = append(control, f.address(h, controlPort))
	}
	self, err := os.Executable()
	if err != nil {
		return id, nil, err
	}
	p = &process{}
	arguments := append([]string{
		"server", "-id", id, "-service", service, "-address", address, "-control", strings.Join(control, ","), "-record", f.record.path,
	}, options...)
	if err := p.run(filepath.Join(f.folder, id+".log"), nil, self, arguments...); err != nil {
		return id, nil, err
	}
	f.servers = append(f.servers, p)
	return id, p, awaitListener(address)
}

// stop ends all processes.
func (f *fleet) stop() {
	for _, p := range f.servers {
		p.kill()
	}
	for _, h := range f.hosts {
		h.kill()
	}
}

// awaitListener waits until a process listens at an address.
func awaitListener(address string) error {
	for end := time.Now().Add(5 * time.Second); ; time.Sleep(5 * time.Millisecond) {
		conn, err := net.DialTimeout("tcp", address, callTimeout)
		if err == nil {
			return conn.Close()
		}
		if time.Now().After(end) {
			return err
		}
	}
}

// freeAddress returns a loopback address with a free port.
func freeAddress() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	return l.Addr().String(), l.Close()
}

// run starts a program. What it prints goes to a file.
func (p *process) run(logPath string, environment []string, command string, arguments ...string) error {
	log, err := os.OpenFile(logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	p.cmd = exec.Command(command, arguments...)
	p.cmd.Env = append([]string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=" + os.Getenv("LANG")}, environment...)
	p.cmd.Stdout, p.cmd.Stderr = log, log
	return p.cmd.Start()
}

// signal sends a signal to the process.
func (p *process) signal(s syscall.Signal) {
	if p.cmd != nil && p.cmd.Process != nil {
		// A process that has ended by itself gets none.
		_ = p.cmd.Process.Signal(s)
	}
}

// kill ends the process and waits for its end.
func (p *process) kill() {
	if p.cmd == nil || p.cmd.Process == nil {
		return
	}
	p.signal(syscall.SIGKILL)
	_ = p.cmd.Wait()
	p.cmd = nil
}
