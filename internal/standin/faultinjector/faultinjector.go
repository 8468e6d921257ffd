// Package faultinjector is a loopback proxy that delays, resets, cuts one way or
// silences the connections that pass through it.
package faultinjector

import (
	"errors"
	"io"
	"net"
	"sync/atomic"
	"time"
)

// Mode is what the proxy does to connections.
type Mode int32

// The modes. Pass does nothing.
const (
	PassThrough Mode = iota
	// Delay holds each piece back for a while.
	Delay
	// Reset ends connections at once.
	Reset
	// Mute takes what is sent and answers nothing.
	StallResponses
	// Silence takes nothing and answers nothing.
	StallAll
	// Modes is the number of modes.
	ModeCount
)

const (
	// delay holds a piece back in mode Delay.
	delay = 150 * time.Millisecond
	// look is how often a silenced connection looks for another mode.
	look = 20 * time.Millisecond
	// piece is the largest piece that is passed on at once, in bytes.
	piece = 32 << 10
)

// Proxy passes connections on to a target.
type Proxy struct {
	Target   string
	listener net.Listener
	mode     atomic.Int32
}

// Listen starts the proxy at an address.
func (p *Proxy) Listen(address string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	p.listener = listener
	go p.accept()
	return nil
}

// Set changes the mode of new and open connections.
func (p *Proxy) SetMode(m Mode) { p.mode.Store(int32(m)) }

// Close ends the proxy.
func (p *Proxy) Close() { _ = p.listener.Close() }

func (p *Proxy) current() Mode { return Mode(p.mode.Load()) }

func (p *Proxy) accept() {
	for {
		conn, err := p.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err == nil {
			go p.pass(conn)
		}
	}
}

func (p *Proxy) pass(near net.Conn) {
	defer near.Close()
	far, err := net.Dial("tcp", p.Target)
	if err != nil {
		return
	}
	defer far.Close()
	done := make(chan struct{}, 2)
	go p.copy(far, near, StallAll, done)
	go p.copy(near, far, StallResponses, done)
	<-done
}

// copy passes bytes on. In a mode of at least the given one it withholds them.
func (p *Proxy) copy(to, from net.Conn, withhold Mode, done chan<- struct{}) {
	defer func() { done <- struct{}{} }()
	buffer := make([]byte, piece)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		for p.current() >= withhold {
			time.Sleep(look)
		}
		switch p.current() {
		case Reset:
			if tcp, ok := to.(*net.TCPConn); ok {
				_ = tcp.SetLinger(0)
			}
			return
		case Delay:
			time.Sleep(delay)
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			if !errors.Is(err, io.EOF) {
				return
			}
		}
	}
}
