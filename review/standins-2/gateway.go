package main

import (
	"context"
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

// gateway is a running process of the project's own program.
type gateway struct {
	name, clients, readiness string
	command                  *exec.Cmd
	ended                    chan struct{}
}

// The settings of the processes: those of a gateway of the site cgl-blendops.
const (
	memoryMB = 284
	graceS   = 8
)

// startGateway renders the template of the deploy file and starts a process with its command.
func startGateway(root, folder, name, zone, storeAddress string) (*gateway, error) {
	template, err := os.ReadFile(filepath.Join(root, "deploy/gateway.toml.tmpl"))
	if err != nil {
		return nil, err
	}
	ports, err := freeAddresses(4)
	if err != nil {
		return nil, err
	}
	text := string(template)
	for _, bound := range []string{"evacuate_ms", "cold_overrun", "cold_slack"} {
		open, end := "{{#bounds."+bound+"}}", "{{/bounds."+bound+"}}"
		before, rest, found := strings.Cut(text, open)
		_, after, closed := strings.Cut(rest, end)
		if found && closed {
			text = before + after
		}
	}
	_, port2, _ := net.SplitHostPort(ports[2])
	_, port3, _ := net.SplitHostPort(ports[3])
	text = strings.NewReplacer(
		"{{node_name|json}}", `"`+name+`"`, "{{zone|json}}", `"`+zone+`"`,
		"{{#zones}}{{@}}={{.}}{{,}}{{/zones}}", "hall-a=pnw-west,hall-b=pnw-west,annex=pnw-west",
		"{{limits.memory_mb}}", fmt.Sprint(memoryMB), "{{limits.cpu_share|json}}", "0.304", "{{limits.link_mbps|json}}", "1000.0",
		"{{listen.frontend|json}}", `"`+ports[0]+`"`, "{{listen.readiness|json}}", `"`+ports[1]+`"`,
		"{{ip}}", "127.0.0.1", "{{internal_ports.0}}", port2, "{{internal_ports.1}}", port3,
		"{{platform.address|json}}", `"`+storeAddress+`"`,
		"{{bounds.revoke_ms}}", "5000", "{{bounds.config_apply_ms}}", "2000", "{{bounds.grace_s}}", fmt.Sprint(graceS),
		"{{bounds.retry_budget_ratio|json}}", "0.2", "{{bounds.retry_budget_slack|json}}", "56", "{{bootstrap|json}}", "true",
	).Replace(text)
	if strings.Contains(text, "{{") {
		return nil, fmt.Errorf("the template has an unknown placeholder: %s", text)
	}
	file := filepath.Join(folder, name+".toml")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		return nil, err
	}
	log, err := os.Create(filepath.Join(folder, name+".log"))
	if err != nil {
		return nil, err
	}
	defer log.Close()
	g := &gateway{name: name, clients: ports[0], readiness: ports[1], ended: make(chan struct{})}
	g.command = exec.Command("target/acaciawinchd", "gateway")
	g.command.Dir = root
	g.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C", "ACACIAWINCH_NODE_FILE=" + file}
	g.command.Stdout, g.command.Stderr = log, log
	g.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := g.command.Start(); err != nil {
		return nil, err
	}
	go func() {
		_ = g.command.Wait()
		close(g.ended)
	}()
	return g, nil
}

// freeAddresses returns free loopback addresses. Their ports are below those that outgoing connections take.
func freeAddresses(count int) ([]string, error) {
	var list []string
	for range 1000 {
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", 20000+rand.IntN(12000)))
		if err != nil {
			continue
		}
		defer l.Close()
		if list = append(list, l.Addr().String()); len(list) == count {
			return list, nil
		}
	}
	return nil, fmt.Errorf("no free ports")
}

// awaitReady waits until the process says that it is ready.
func (g *gateway) awaitReady(ctx context.Context) error {
	for ctx.Err() == nil {
		answer, err := http.Get("http://" + g.readiness + "/readyz")
		if err == nil {
			answer.Body.Close()
			if answer.StatusCode == http.StatusOK {
				return nil
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	return fmt.Errorf("%s is not ready", g.name)
}

// endsAtOnce reports whether the process ends within 300 ms of its start.
func (g *gateway) endsAtOnce() bool {
	select {
	case <-g.ended:
		return true
	case <-time.After(300 * time.Millisecond):
		return false
	}
}

// running reports whether the process has not ended.
func (g *gateway) running() bool {
	select {
	case <-g.ended:
		return false
	default:
		return true
	}
}

// stop ends the process.
func (g *gateway) stop() {
	if g.running() {
		_ = g.command.Process.Signal(syscall.SIGKILL)
		<-g.ended
	}
}

// rssMB returns the resident memory of the process in MB.
func (g *gateway) rssMB() float64 {
	content, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", g.command.Process.Pid))
	if err != nil {
		return 0
	}
	var size, resident, shared int
	_, _ = fmt.Sscan(string(content), &size, &resident, &shared)
	return float64(resident-shared) * float64(os.Getpagesize()) / 1e6
}
