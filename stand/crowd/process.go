package crowd

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
)

// Process is a program that runs under a limit of descriptors.
type Process struct {
	*exec.Cmd
}

// NewProcess returns a program that may open the given number of descriptors, and that is
// killed when the context ends.
func NewProcess(ctx context.Context, descriptors int, program string, args ...string) Process {
	script := fmt.Sprintf(`ulimit -n %d && exec "$0" "$@"`, descriptors)
	return Process{exec.CommandContext(ctx, "sh", append([]string{"-c", script, program}, args...)...)}
}

// Alive reports whether the process runs and is no zombie.
func (p Process) Alive() bool {
	stat, err := os.ReadFile(p.file("stat"))
	if err != nil {
		return false
	}
	_, state, _ := strings.Cut(string(stat), ") ")
	return !strings.HasPrefix(state, "Z")
}

// PeakMemory returns the peak of the resident memory, in bytes.
func (p Process) PeakMemory() (int, error) {
	status, err := os.ReadFile(p.file("status"))
	if err != nil {
		return 0, err
	}
	_, rest, _ := strings.Cut(string(status), "VmHWM:")
	fields := strings.Fields(rest)
	if len(fields) == 0 {
		return 0, fmt.Errorf("%s has no VmHWM", p.file("status"))
	}
	kilobytes, err := strconv.Atoi(fields[0])
	return kilobytes << 10, err
}

// Descriptors returns the number of open descriptors.
func (p Process) Descriptors() (int, error) {
	list, err := os.ReadDir(p.file("fd"))
	return len(list), err
}

// Check checks that the process runs and stays below the given bytes of memory and number
// of descriptors. It returns what it has measured.
func (p Process) Check(maxMemory, maxDescriptors int) (string, error) {
	if !p.Alive() {
		return "", errors.New("the process has ended")
	}
	memory, err := p.PeakMemory()
	if err != nil {
		return "", err
	}
	descriptors, err := p.Descriptors()
	if err != nil {
		return "", err
	}
	measured := fmt.Sprintf("%d MB of memory, %d descriptors", memory>>20, descriptors)
	if memory >= maxMemory || descriptors >= maxDescriptors {
		return measured, fmt.Errorf("the process had %s; allowed are %d MB and %d", measured, maxMemory>>20, maxDescriptors)
	}
	return measured, nil
}

func (p Process) file(name string) string {
	return filepath.Join("/proc", strconv.Itoa(p.Process.Pid), name)
}
