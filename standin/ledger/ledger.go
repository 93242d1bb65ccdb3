// Package ledger records the calls and orders of a stand-in upstream as JSON lines in a
// file. Tests judge the system by ledgers, never by the system's own logs.
package ledger

import (
	"bufio"
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// Event is the kind of a record.
type Event string

// The events of an upstream.
const (
	Start  Event = "start"
	End    Event = "end"
	Cancel Event = "cancel"
	Error  Event = "error"
	Order  Event = "order"
)

// Record is one line of a ledger.
type Record struct {
	// TimeUS is the wall clock in microseconds since 1970.
	TimeUS   int64  `json:"t_us"`
	Upstream string `json:"upstream"`
	Service  string `json:"service"`
	Event    Event  `json:"event"`
	// ID is the attempt's ID as sent by the system.
	ID          string `json:"id,omitempty"`
	Workspace   string `json:"workspace,omitempty"`
	InputDigest string `json:"input_digest,omitempty"`
	// Cost is the work done so far: the number of tokens, or 1 for a call that ended.
	Cost    uint64 `json:"cost"`
	Fencing uint64 `json:"fencing,omitempty"`
	// Detail holds the action and model of an order, or the text of an error.
	Detail string `json:"detail,omitempty"`
}

// Ledger appends records to a file. Each record is one write without a buffer, so that
// a killed process loses none. It is safe for concurrent use.
type Ledger struct {
	upstream string
	service  string
	mu       sync.Mutex
	file     *os.File
}

// Open returns a ledger that appends to the file at path. With an empty path it
// discards all records.
func Open(path, upstream, service string) (*Ledger, error) {
	l := &Ledger{upstream: upstream, service: service}
	if path == "" {
		return l, nil
	}
	file, err := os.OpenFile(path, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	l.file = file
	return l, err
}

// Write appends one record and sets its time, upstream and service. It fails only if the
// file can't be written.
func (l *Ledger) Write(r Record) error {
	if l.file == nil {
		return nil
	}
	r.TimeUS = time.Now().UnixMicro()
	r.Upstream = l.upstream
	r.Service = l.service
	line, err := json.Marshal(r)
	if err != nil {
		return err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	_, err = l.file.Write(append(line, '\n'))
	return err
}

// Close closes the file.
func (l *Ledger) Close() error {
	if l.file == nil {
		return nil
	}
	return l.file.Close()
}

// Read returns the records of one file. It skips a last line without a newline: its
// process was killed during the write.
func Read(path string) ([]Record, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	data = data[:bytes.LastIndexByte(data, '\n')+1]
	var records []Record
	scanner := bufio.NewScanner(bytes.NewReader(data))
	scanner.Buffer(nil, 1<<20)
	for scanner.Scan() {
		var r Record
		if err := json.Unmarshal(scanner.Bytes(), &r); err != nil {
			return nil, err
		}
		records = append(records, r)
	}
	return records, scanner.Err()
}

// ReadAll returns the records of all files in dir whose names end with ".ledger".
func ReadAll(dir string) ([]Record, error) {
	paths, err := filepath.Glob(filepath.Join(dir, "*.ledger"))
	if err != nil {
		return nil, err
	}
	var all []Record
	for _, path := range paths {
		records, err := Read(path)
		if err != nil {
			return nil, err
		}
		all = append(all, records...)
	}
	return all, nil
}
