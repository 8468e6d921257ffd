// Package requestlimiter bounds what clients make a process hold. It extends net/http with
// a bound on the lines of a head and with one budget of memory and of connections for all
// requests in progress.
package requestlimiter

import (
	"cmp"
	"time"

	"golang.org/x/sys/unix"

	"knapweedspur/internal/link/budgeter"
	"knapweedspur/internal/setting/validator"
)

// Settings are the limits of a single request and connection.
type Settings struct {
	HeadBytes      int           `help:"Most bytes of the head of a request; net/http allows 4096 more." env:"KNAPWEEDSPUR_HEAD_BYTES" default:"16384"`
	HeadLines      int           `help:"Most lines of the head of a request." env:"KNAPWEEDSPUR_HEAD_LINES" default:"6000"`
	HeadTimeout    time.Duration `help:"How long the head of a request may take." env:"KNAPWEEDSPUR_HEAD_TIMEOUT" default:"5s"`
	RequestTimeout time.Duration `help:"How long a request may take to arrive." env:"KNAPWEEDSPUR_REQUEST_TIMEOUT" default:"30s"`
	AnswerTimeout  time.Duration `help:"How long a part of an answer may stay unread." env:"KNAPWEEDSPUR_ANSWER_TIMEOUT" default:"30s"`
	IdleTimeout    time.Duration `help:"When a connection without a request is closed." env:"KNAPWEEDSPUR_IDLE_TIMEOUT" default:"1m"`
	SocketBuffer   int           `help:"Most bytes that the kernel keeps for a connection, of what is unread and of what is unsent; Linux doubles it." env:"KNAPWEEDSPUR_SOCKET_BUFFER" default:"32768"`
}

// DefaultSettings returns the defaults of all settings.
func DefaultSettings() Settings {
	return Settings{
		HeadBytes: 16 << 10, HeadLines: 6000, HeadTimeout: 5 * time.Second, RequestTimeout: 30 * time.Second,
		AnswerTimeout: 30 * time.Second, IdleTimeout: time.Minute, SocketBuffer: 32 << 10,
	}
}

// withDefaults returns the settings with the default of each that is not set.
func (s Settings) withDefaults() Settings {
	d := DefaultSettings()
	return Settings{
		HeadBytes: cmp.Or(s.HeadBytes, d.HeadBytes), HeadLines: cmp.Or(s.HeadLines, d.HeadLines), HeadTimeout: cmp.Or(s.HeadTimeout, d.HeadTimeout),
		RequestTimeout: cmp.Or(s.RequestTimeout, d.RequestTimeout), AnswerTimeout: cmp.Or(s.AnswerTimeout, d.AnswerTimeout),
		IdleTimeout: cmp.Or(s.IdleTimeout, d.IdleTimeout), SocketBuffer: cmp.Or(s.SocketBuffer, d.SocketBuffer),
	}
}

// Check adds the problems in the settings.
func (s *Settings) Check(c *validator.Checker) {
	c.IntBetween("head-bytes", s.HeadBytes, 1<<10, 1<<20)
	c.IntBetween("head-lines", s.HeadLines, 10, 1<<20)
	c.DurationBetween("head-timeout", s.HeadTimeout, 100*time.Millisecond, time.Minute)
	c.DurationBetween("request-timeout", s.RequestTimeout, s.HeadTimeout, time.Hour)
	c.DurationBetween("answer-timeout", s.AnswerTimeout, time.Second, time.Hour)
	c.IntBetween("socket-buffer", s.SocketBuffer, 4<<10, 16<<20)
	c.DurationBetween("idle-timeout", s.IdleTimeout, time.Second, time.Hour)
}

const (
	// megabyte is the unit of the memory of a VM, in bytes.
	megabyte = 1_000_000
	// requestShare is the part of the memory that requests in progress may hold. With
	// Go's collector the heap grows to twice what is held.
	requestShare = 0.2
	// runtimeShare is the part of the memory that is the soft limit of the Go runtime. The
	// rest is for the program text, for what the kernel holds for the process, and for what
	// is allocated while the collector runs.
	runtimeShare = 0.65
	// fileDescriptors are kept for files, and a part of the others (outgoingShare, at
	// least minOutgoing) for listeners and connections that the process opens itself.
	fileDescriptors = 200
	outgoingShare   = 0.125
	minOutgoing     = 24
	// minConnections can always be open.
	minConnections = 8
)

// VM is the memory and the descriptors that the process may use.
type VM struct {
	// MemoryMB is in units of 10^6 bytes; 0 stands for all memory of the machine.
	MemoryMB int `name:"memory" help:"Memory that the process may use, in MB; 0 for all of the machine." env:"KNAPWEEDSPUR_MEMORY" default:"0"`
	// Descriptors is the number of descriptors; 0 stands for the limit of the process.
	Descriptors int `help:"Descriptors that the process may use; 0 for the limit of the process." env:"KNAPWEEDSPUR_DESCRIPTORS" default:"0"`
}

// The least that a VM can have.
const minMemoryMB, minDescriptors = 32, 256

// Check adds the problems in the limits.
func (v *VM) Check(c *validator.Checker) {
	if v.MemoryMB != 0 {
		c.IntBetween("memory", v.MemoryMB, minMemoryMB, 1<<24)
	}
	if v.Descriptors != 0 {
		c.IntBetween("descriptors", v.Descriptors, minDescriptors, 1<<24)
	}
}

// resolve replaces what is not set by the limits of the machine and the process. What
// cannot be read stays as small as the smallest VM.
func (v VM) resolve() VM {
	if v.MemoryMB <= 0 {
		v.MemoryMB = 128
		var info unix.Sysinfo_t
		if unix.Sysinfo(&info) == nil {
			v.MemoryMB = int(info.Totalram * uint64(info.Unit) / megabyte)
		}
	}
	if v.Descriptors <= 0 {
		v.Descriptors = 1024
		var limit unix.Rlimit
		if unix.Getrlimit(unix.RLIMIT_NOFILE, &limit) == nil {
			v.Descriptors = int(min(limit.Cur, 1<<20))
		}
	}
	return v
}

// MemoryLimit returns the soft limit of the Go runtime.
func (v VM) MemoryLimit() int64 {
	return int64(float64(v.resolve().MemoryMB) * megabyte * runtimeShare)
}

// limits returns the limits of the requests and connections of a process on the VM.
func (v VM) limits() budgeter.Limits {
	v = v.resolve()
	sockets := max(v.Descriptors-fileDescriptors, 0)
	outgoing := max(int(float64(sockets)*outgoingShare), minOutgoing)
	return budgeter.Limits{
		Bytes:       int64(float64(v.MemoryMB) * megabyte * requestShare),
		Connections: max(sockets-outgoing, minConnections),
	}
}
