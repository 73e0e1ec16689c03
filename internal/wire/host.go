package wire

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"time"

	"lichenhitch/balance"
)

// Serve hosts balancers: it reads batches from in until its end and writes a reply to each to out. Instances
// share nothing. An error names the message that could not be taken.
func Serve(in io.Reader, out io.Writer) error {
	h := host{
		in:        bufio.NewReaderSize(in, 1<<16),
		out:       bufio.NewWriterSize(out, 1<<16),
		instances: map[string]*balance.Balancer{},
	}
	for {
		line, err := h.readLine()
		if err == nil {
			err = h.take(line)
		}
		switch {
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return fmt.Errorf("line %d: %w", h.lines, err)
		}
	}
}

type host struct {
	in        *bufio.Reader
	out       *bufio.Writer
	instances map[string]*balance.Balancer
	lines     int
	clock     time.Duration
	open      bool // inside a batch
	buf       []byte
}

// readLine returns the next line that is not blank. The end of input is fine between batches only.
func (h *host) readLine() ([]byte, error) {
	for {
		line, err := h.in.ReadBytes('\n')
		h.lines++
		if line = bytes.TrimSpace(line); len(line) > 0 {
			return line, nil
		}
		if errors.Is(err, io.EOF) && h.open {
			return nil, errors.New("commit: the input ends inside a batch")
		}
		if err != nil {
			return nil, err
		}
	}
}

func (h *host) take(line []byte) error {
	m, err := Decode(line)
	if err != nil {
		return err
	}
	if (m.Kind == Mark) == h.open {
		if h.open {
			return fmt.Errorf("%s: the batch before is not closed", m.Name)
		}
		return fmt.Errorf("%s: outside a batch", m.Name)
	}
	switch m.Kind {
	case Mark:
		h.open, h.clock, h.buf = true, m.Clock, h.buf[:0]
	case Commit:
		h.open = false
		return h.reply()
	case Start:
		h.instances[m.Instance] = balance.New(m.Settings, m.Seed)
	default:
		return h.deliver(m)
	}
	return nil
}

func (h *host) deliver(m Message) error {
	b := h.instances[m.Instance]
	if b == nil {
		return fmt.Errorf("%s: unknown instance %q", m.Name, m.Instance)
	}
	if m.Kind == Stop {
		delete(h.instances, m.Instance)
		return nil
	}
	for _, a := range b.Handle(h.clock, m.Event) {
		h.buf = Encode(h.buf, m.Instance, a)
	}
	return nil
}

func (h *host) reply() error {
	h.buf = append(h.buf, Next...)
	if _, err := h.out.Write(h.buf); err != nil {
		return fmt.Errorf("reply: %w", err)
	}
	if err := h.out.Flush(); err != nil {
		return fmt.Errorf("reply: %w", err)
	}
	return nil
}
