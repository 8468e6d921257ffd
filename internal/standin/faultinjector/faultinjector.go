// Package faultinjector is a loopback TCP proxy that can delay, reset or stall, in
// one direction or both, the connections that pass through it.
package faultinjector

import (
	"errors"
	"io"
	"net"
	"sync/atomic"
	"time"
)

// Mode is the fault that the proxy applies to connections.
type Mode int32

// The modes, in order of severity: forward compares them. PassThrough injects no
// fault.
const (
	PassThrough Mode = iota
	// Delay delays each chunk by chunkDelay.
	Delay
	// Reset resets a connection when its next chunk arrives.
	Reset
	// StallResponses forwards requests and holds responses back.
	StallResponses
	// StallAll forwards nothing in either direction.
	StallAll
	// ModeCount is the number of modes.
	ModeCount
)

const (
	// chunkDelay is the delay of each chunk in mode Delay.
	chunkDelay = 150 * time.Millisecond
	// modePollInterval is how often a stalled connection checks for a mode change.
	modePollInterval = 20 * time.Millisecond
	// maxChunk is the largest chunk that is forwarded at once, in bytes.
	maxChunk = 32 << 10
)

// Proxy forwards connections to a target.
type Proxy struct {
	Target   string
	listener net.Listener
	mode     atomic.Int32
}

// Listen starts the proxy on an address.
func (p *Proxy) Listen(address string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	p.listener = listener
	go p.accept()
	return nil
}

// SetMode changes the mode of new and open connections.
func (p *Proxy) SetMode(m Mode) { p.mode.Store(int32(m)) }

// Close stops accepting connections. Open ones continue.
func (p *Proxy) Close() { _ = p.listener.Close() }

func (p *Proxy) currentMode() Mode { return Mode(p.mode.Load()) }

func (p *Proxy) accept() {
	for {
		conn, err := p.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err == nil {
			go p.proxyConnection(conn)
		}
	}
}

func (p *Proxy) proxyConnection(client net.Conn) {
	defer client.Close()
	server, err := net.Dial("tcp", p.Target)
	if err != nil {
		return
	}
	defer server.Close()
	done := make(chan struct{}, 2)
	go p.forward(server, client, StallAll, done)
	go p.forward(client, server, StallResponses, done)
	<-done
}

// forward copies bytes from one connection to another. While the proxy's mode is at
// least stallMode, it holds them back.
func (p *Proxy) forward(to, from net.Conn, stallMode Mode, done chan<- struct{}) {
	defer func() { done <- struct{}{} }()
	buffer := make([]byte, maxChunk)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		for p.currentMode() >= stallMode {
			time.Sleep(modePollInterval)
		}
		switch p.currentMode() {
		case Reset:
			if tcpConn, ok := to.(*net.TCPConn); ok {
				_ = tcpConn.SetLinger(0)
			}
			return
		case Delay:
			time.Sleep(chunkDelay)
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			if !errors.Is(err, io.EOF) {
				return
			}
		}
	}
}
