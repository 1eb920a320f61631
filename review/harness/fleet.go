package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

// portPlan holds the ports of a deployment. They are the same on all machines.
type portPlan struct {
	Internal, InternalLast, App, Inbound, Outbound, Ready, Control int
}

// machine is one machine of the deployment: a loopback address and a process on it.
type machine struct {
	Name, Role, Class, IP, Zone, Service, DataDir string
	Bootstrap                                     bool

	dep *deployment
	mu  sync.Mutex
	cmd *exec.Cmd
	// exited is closed when the process has ended.
	exited chan struct{}
}

// deployment is a small deployment on loopback addresses.
type deployment struct {
	repo, dir string
	ports     portPlan
	losses    int
	rec       *recorder
	machines  []*machine
	seeds     []string
}

// newDeployment chooses free ports and creates a temporary folder.
func newDeployment(rec *recorder, losses int) (*deployment, error) {
	repo, err := findRepo()
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	dep := &deployment{repo: repo, dir: dir, losses: losses, rec: rec}
	return dep, dep.choosePorts()
}

// findRepo returns the root of the repository, which holds the deploy file.
func findRepo() (string, error) {
	dir, err := os.Getwd()
	if err != nil {
		return "", err
	}
	for ; dir != "/"; dir = filepath.Dir(dir) {
		if _, err := os.Stat(filepath.Join(dir, "deploy", "system.toml")); err == nil {
			return dir, nil
		}
	}
	return "", errors.New("no deploy file in this folder or above it")
}

// choosePorts finds a range of free ports below those that the system hands out.
func (dp *deployment) choosePorts() error {
	const size = 24
	for base := 20000 + os.Getpid()%400*size; base < 32000; base += size {
		if portsAreFree(base, size) {
			dp.ports = portPlan{Internal: base, InternalLast: base + 15, App: base + 16, Inbound: base + 17, Outbound: base + 18, Ready: base + 19, Control: base + 20}
			return nil
		}
	}
	return errors.New("no free ports")
}

func portsAreFree(base, size int) bool {
	for port := base; port < base+size; port++ {
		lis, err := net.Listen("tcp", fmt.Sprintf("0.0.0.0:%d", port))
		if err != nil {
			return false
		}
		_ = lis.Close()
		con, err := net.ListenPacket("udp", fmt.Sprintf("0.0.0.0:%d", port))
		if err != nil {
			return false
		}
		_ = con.Close()
	}
	return true
}

// addKeeper adds a machine of the core, and addSidecar one with an endpoint.
func (dp *deployment) addKeeper(name, zone string) *machine {
	return dp.add(&machine{Name: name, Role: "keeper", Class: "core", Zone: zone})
}

func (dp *deployment) addSidecar(name, zone, service string) *machine {
	return dp.add(&machine{Name: name, Role: "daemon", Class: "sidecar", Zone: zone, Service: service})
}

func (dp *deployment) add(mac *machine) *machine {
	mac.dep = dp
	mac.IP = fmt.Sprintf("127.%d.%d.%d", 60+os.Getpid()%100, 1+os.Getpid()/100%250, len(dp.machines)+1)
	mac.DataDir = filepath.Join(dp.dir, mac.Name)
	dp.machines = append(dp.machines, mac)
	if mac.Class == "core" && len(dp.seeds) < 3 {
		dp.seeds = append(dp.seeds, mac.controlAddress())
	}
	return mac
}

// startAll starts every machine, as at the first start of the whole system.
func (dp *deployment) startAll() error {
	for _, mac := range dp.machines {
		mac.Bootstrap = true
		if err := mac.start(); err != nil {
			return err
		}
		mac.Bootstrap = false
	}
	return nil
}

// close ends all processes and removes the temporary folder.
func (dp *deployment) close() {
	for _, mac := range dp.machines {
		mac.kill()
	}
	_ = os.RemoveAll(dp.dir)
}

func (ma *machine) address(port int) string { return fmt.Sprintf("%s:%d", ma.IP, port) }

func (ma *machine) controlAddress() string  { return ma.address(ma.dep.ports.Control) }
func (ma *machine) outboundAddress() string { return ma.address(ma.dep.ports.Outbound) }
func (ma *machine) readyAddress() string    { return ma.address(ma.dep.ports.Ready) }
func (ma *machine) appAddress() string      { return ma.address(ma.dep.ports.App) }

// start renders the settings file and starts the process with the command of the deploy
// file.
func (ma *machine) start() error {
	role, err := ma.dep.readRole(ma.Role)
	if err != nil {
		return err
	}
	if err := os.MkdirAll(ma.DataDir, 0o750); err != nil {
		return err
	}
	settings := filepath.Join(ma.dep.dir, ma.Name+".ini")
	rendered, err := ma.renderSettings(filepath.Join(ma.dep.repo, role["template"]))
	if err != nil {
		return err
	}
	if err := os.WriteFile(settings, rendered, 0o600); err != nil {
		return err
	}
	out, err := os.OpenFile(filepath.Join(ma.dep.dir, ma.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	words := strings.Fields(role["run"])
	cmd := exec.Command(filepath.Join(ma.dep.repo, words[0]), words[1:]...)
	cmd.Dir = ma.dep.repo
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + ma.dep.dir, "LANG=C", "GOGC=" + role["GOGC"], names.SettingsVariable + "=" + settings}
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	ma.mu.Lock()
	ma.cmd, ma.exited = cmd, exited
	ma.mu.Unlock()
	go func() {
		err := cmd.Wait()
		ma.dep.rec.add("%s: process %d ended: %v", ma.Name, cmd.Process.Pid, errOrNil(err))
		close(exited)
	}()
	ma.dep.rec.add("%s: process %d started at %s", ma.Name, cmd.Process.Pid, ma.IP)
	return nil
}

func errOrNil(err error) string {
	if err == nil {
		return "exit status 0"
	}
	return err.Error()
}

// signal sends a signal to the process.
func (ma *machine) signal(sig syscall.Signal) {
	ma.mu.Lock()
	defer ma.mu.Unlock()
	if ma.cmd != nil {
		ma.dep.rec.add("%s: %s", ma.Name, sig)
		_ = ma.cmd.Process.Signal(sig)
	}
}

// kill kills the process and waits for its end.
func (ma *machine) kill() {
	ma.mu.Lock()
	cmd, exited := ma.cmd, ma.exited
	ma.mu.Unlock()
	if cmd == nil {
		return
	}
	select {
	case <-exited:
		return
	default:
	}
	ma.signal(syscall.SIGKILL)
	<-exited
}

// terminate sends SIGTERM and waits for the end of the process, for up to the grace
// period.
func (ma *machine) terminate() {
	const grace = 6 * time.Second
	ma.signal(syscall.SIGTERM)
	select {
	case <-ma.exited:
	case <-time.After(grace):
		ma.kill()
	}
}

// wipe empties the data folder.
func (ma *machine) wipe() error {
	ma.dep.rec.add("%s: its disk is lost", ma.Name)
	return os.RemoveAll(ma.DataDir)
}

// readRole returns the entries of a role of the deploy file.
func (dp *deployment) readRole(name string) (map[string]string, error) {
	file, err := os.Open(filepath.Join(dp.repo, "deploy", "system.toml"))
	if err != nil {
		return nil, err
	}
	defer file.Close()
	role := make(map[string]string)
	pair := regexp.MustCompile(`(\w+) = "([^"]*)"`)
	scanner := bufio.NewScanner(file)
	for inRole := false; scanner.Scan(); {
		line := strings.TrimSpace(scanner.Text())
		if strings.HasPrefix(line, "[") {
			inRole = line == "[roles."+name+"]"
			continue
		}
		if !inRole {
			continue
		}
		for _, match := range pair.FindAllStringSubmatch(line, -1) {
			role[match[1]] = match[2]
		}
	}
	if role["run"] == "" {
		return nil, fmt.Errorf("the deploy file has no role %s", name)
	}
	return role, scanner.Err()
}

// renderSettings fills in a template of the deploy file with the fields that the platform
// sets.
func (ma *machine) renderSettings(path string) ([]byte, error) {
	tmpl, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	var fields map[string]any
	data := struct {
		*machine
		Ports  portPlan
		Seeds  []string
		Losses int
	}{ma, ma.dep.ports, ma.dep.seeds, ma.dep.losses}
	if err := json.Unmarshal(renderWire("settings", data), &fields); err != nil {
		return nil, err
	}
	placeholder := regexp.MustCompile(`\{\{([a-z_.]+)\}\}`)
	return placeholder.ReplaceAllFunc(tmpl, func(match []byte) []byte {
		var value any = fields
		for part := range strings.SplitSeq(strings.Trim(string(match), "{}"), ".") {
			table, _ := value.(map[string]any)
			value = table[part]
		}
		return []byte(textOf(value))
	}), nil
}

// textOf returns a value as the platform writes it: lists are joined by commas.
func textOf(value any) string {
	switch val := value.(type) {
	case nil:
		return ""
	case []any:
		texts := make([]string, len(val))
		for i, item := range val {
			texts[i] = textOf(item)
		}
		return strings.Join(texts, ",")
	}
	return fmt.Sprint(value)
}
