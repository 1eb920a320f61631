package main

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// proc is one process of the system.
type proc struct {
	name     string
	role     string // "daemon" or "keeper"
	ip       string
	settings map[string]string
	folder   string
	cmd      *exec.Cmd
	done     chan struct{}
	exit     error
	stopping bool
}

// fleet is a small deployment on loopback addresses.
type fleet struct {
	root    string // Repository.
	work    string // Temporary folder.
	rec     *recorder
	net     string // First two bytes of the addresses, such as 127.61.
	bounds  string
	losses  int
	mem     map[string]int
	keepers []*proc
	daemons []*proc
	seeds   string
	mu      sync.Mutex
	// ownEnds counts processes that ended without a signal of the test.
	ownEnds int
	closing sync.Once
	// reserved is a listener that keeps other fleets from the same addresses.
	reserved net.Listener
}

const (
	portPeer    = 7600
	portControl = 8620
	portReady   = 8625
	portCallers = 8629
	portApp     = 8628
)

func newFleet(root string, rec *recorder) (*fleet, error) {
	root, err := filepath.Abs(root)
	if err != nil {
		return nil, err
	}
	work, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	fl := &fleet{
		root: root, work: work, rec: rec, losses: 1, mem: map[string]int{"daemon": 284, "keeper": 280},
		bounds: names.Bounds,
	}
	for second := 20 + os.Getpid()%200; ; second = 20 + (second+1)%200 {
		fl.net = fmt.Sprintf("127.%d", second)
		lis, err := net.Listen("tcp", fl.net+".0.1:8620")
		if err == nil {
			fl.reserved = lis
			return fl, nil
		}
	}
}

// addKeeper and addDaemon add processes, which start begins.
func (fl *fleet) addKeeper(zone string) *proc {
	pr := fl.add("keeper", zone, fmt.Sprintf("%s.1.%d", fl.net, len(fl.keepers)+1), len(fl.keepers)+1)
	pr.settings["data_dir"] = filepath.Join(pr.folder, "data")
	fl.keepers = append(fl.keepers, pr)
	return pr
}

func (fl *fleet) addDaemon(zone, service string) *proc {
	pr := fl.add("daemon", zone, fmt.Sprintf("%s.2.%d", fl.net, len(fl.daemons)+1), len(fl.daemons)+1)
	pr.settings["service"] = service
	pr.settings["app_addr"] = fmt.Sprintf("%s:%d", pr.ip, portApp)
	fl.daemons = append(fl.daemons, pr)
	return pr
}

func (fl *fleet) add(role, zone, ip string, number int) *proc {
	pr := &proc{name: fmt.Sprintf("%s-%s-%d", role, zone, number), role: role, ip: ip}
	pr.folder = filepath.Join(fl.work, pr.name)
	pr.settings = map[string]string{
		"node_name": pr.name, "zone": zone, "ip": ip, names.Ports: "7600,7615",
		"listen.control":  fmt.Sprintf("%s:%d", ip, portControl),
		"listen.outbound": fmt.Sprintf("%s:%d", ip, portCallers),
		"listen.ready":    fmt.Sprintf("%s:%d", ip, portReady),
		"bounds":          fl.bounds, "bootstrap": "true", "limits.memory_mb": fmt.Sprint(fl.mem[role]),
		names.Tolerance + ".machines": fmt.Sprint(fl.losses), names.Tolerance + ".zones": "0", names.Tolerance + ".regions": "0",
	}
	return pr
}

// start starts a process with the command and the template of the deploy file.
func (fl *fleet) start(pr *proc) error {
	if err := os.MkdirAll(pr.folder, 0o750); err != nil {
		return err
	}
	pr.settings["seeds"] = fl.seedList()
	template, err := os.ReadFile(filepath.Join(fl.root, "deploy", pr.role+".ini"))
	if err != nil {
		return err
	}
	text := string(template)
	for name, value := range pr.settings {
		text = strings.ReplaceAll(text, "{{"+name+"}}", value)
	}
	if strings.Contains(text, "{{") {
		return fmt.Errorf("the template of %s has a field that this test doesn't know", pr.role)
	}
	path := filepath.Join(pr.folder, "node.ini")
	if err := os.WriteFile(path, []byte(text), 0o640); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(pr.folder, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o640)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command(filepath.Join(fl.root, "target", "cactusplatform"), pr.role)
	cmd.Dir, cmd.Stdout, cmd.Stderr = fl.root, log, log
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=" + os.Getenv("LANG"), "GOGC=100", names.SettingsVariable + "=" + path}
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	fl.mu.Lock()
	pr.cmd, pr.done, pr.stopping = cmd, done, false
	fl.mu.Unlock()
	go func() {
		err := cmd.Wait()
		fl.mu.Lock()
		pr.exit = err
		if !pr.stopping {
			fl.ownEnds++
			fl.rec.note("%s ended by itself: %v", pr.name, err)
		}
		fl.mu.Unlock()
		close(done)
	}()
	return nil
}

func (fl *fleet) seedList() string {
	var list []string
	for i, pr := range fl.keepers {
		if i < 3 {
			list = append(list, pr.settings["listen.control"])
		}
	}
	return strings.Join(list, ",")
}

func (fl *fleet) all() []*proc { return append(append([]*proc{}, fl.keepers...), fl.daemons...) }

// startAll starts all processes at about the same moment.
func (fl *fleet) startAll() error {
	for _, pr := range fl.all() {
		if err := fl.start(pr); err != nil {
			return err
		}
	}
	return nil
}

// signal sends a signal to a process that this test started.
func (fl *fleet) signal(pr *proc, sig syscall.Signal) {
	fl.mu.Lock()
	if sig == syscall.SIGTERM || sig == syscall.SIGKILL {
		pr.stopping = true
	}
	cmd := pr.cmd
	fl.mu.Unlock()
	if cmd != nil && cmd.Process != nil {
		_ = cmd.Process.Signal(sig)
	}
}

// wait waits for the end of a process.
func (pr *proc) wait(limit time.Duration) bool {
	select {
	case <-pr.done:
		return true
	case <-time.After(limit):
		return false
	}
}

// close ends all processes and removes the temporary folder.
func (fl *fleet) close() {
	fl.closing.Do(fl.end)
}

func (fl *fleet) end() {
	for _, pr := range fl.all() {
		if pr.cmd != nil {
			fl.signal(pr, syscall.SIGCONT)
			fl.signal(pr, syscall.SIGKILL)
		}
	}
	for _, pr := range fl.all() {
		if pr.cmd != nil {
			pr.wait(5 * time.Second)
		}
	}
	_ = os.RemoveAll(fl.work)
	_ = fl.reserved.Close()
}
