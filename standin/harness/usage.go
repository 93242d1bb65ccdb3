package harness

import (
	"bytes"
	"fmt"
	"os"
	"strconv"
	"time"
)

// clockTick is the unit of processor times in /proc on Linux.
const clockTick = 10 * time.Millisecond

// Places of the fields of /proc/PID/stat, counted behind the command's name.
const (
	statUser     = 11
	statSystem   = 12
	statResident = 21
	statFields   = 22
)

// Usage is what a process has used since its start.
type Usage struct {
	// Processor is the time spent in user and system mode, in steps of 10 ms.
	Processor time.Duration
	// Resident is the memory held now, in bytes.
	Resident int64
}

// Usage reads what the process has used. It fails if the process has ended.
func (p *Process) Usage() (Usage, error) {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.PID()))
	if err != nil {
		return Usage{}, err
	}
	// The command's name is in parentheses and may hold spaces.
	fields := bytes.Fields(stat[bytes.LastIndexByte(stat, ')')+1:])
	if len(fields) < statFields {
		return Usage{}, fmt.Errorf("%s: %d fields in /proc", p.Name, len(fields))
	}
	var numbers [3]int64
	for i, field := range []int{statUser, statSystem, statResident} {
		if numbers[i], err = strconv.ParseInt(string(fields[field]), 10, 64); err != nil {
			return Usage{}, err
		}
	}
	return Usage{
		Processor: time.Duration(numbers[0]+numbers[1]) * clockTick,
		Resident:  numbers[2] * int64(os.Getpagesize()),
	}, nil
}
