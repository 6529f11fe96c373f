package machine

import (
	"bytes"
	"os"
	"strconv"
	"syscall"
)

const (
	// unknownBytes is the memory that is assumed where the system does not say.
	unknownBytes = 1 << 30
	// maxDescriptors is the number of descriptors above which a limit counts as none.
	maxDescriptors = 1 << 24
)

// Detect returns what the operating system allows the process: the memory of the machine or of the
// process's control group, whichever is less, and the limit on open files.
func Detect() Machine {
	m := Machine{Bytes: unknownBytes}
	if total, ok := memTotal("/proc/meminfo"); ok {
		m.Bytes = total
	}
	for _, file := range []string{"/sys/fs/cgroup/memory.max", "/sys/fs/cgroup/memory/memory.limit_in_bytes"} {
		if limit, ok := readInt(file); ok && limit > 0 {
			m.Bytes = min(m.Bytes, limit)
		}
	}
	var files syscall.Rlimit
	if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &files) == nil && files.Cur < maxDescriptors {
		m.Descriptors = int(files.Cur)
	}
	return m
}

// memTotal reads the size of the memory from a file like /proc/meminfo.
func memTotal(file string) (int64, bool) {
	data, err := os.ReadFile(file)
	if err != nil {
		return 0, false
	}
	for line := range bytes.Lines(data) {
		fields := bytes.Fields(line)
		if len(fields) == 3 && string(fields[0]) == "MemTotal:" && string(fields[2]) == "kB" {
			kb, err := strconv.ParseInt(string(fields[1]), 10, 64)
			return kb << 10, err == nil && kb > 0
		}
	}
	return 0, false
}

// readInt reads a file that holds one number. Other content, such as max, is none.
func readInt(file string) (int64, bool) {
	data, err := os.ReadFile(file)
	if err != nil {
		return 0, false
	}
	n, err := strconv.ParseInt(string(bytes.TrimSpace(data)), 10, 64)
	return n, err == nil
}
