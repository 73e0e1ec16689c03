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

// Serve runs balancer instances: it reads batches from in until the end of input and writes a reply to each to out. The
// instances share no state. An error names the line and the message that could not be handled.
func Serve(in io.Reader, out io.Writer) error {
	s := session{
		in:        bufio.NewReaderSize(in, 1<<16),
		out:       bufio.NewWriterSize(out, 1<<16),
		instances: map[string]*balance.Balancer{},
	}
	for {
		line, err := s.readLine()
		if err == nil {
			err = s.handle(line)
		}
		switch {
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return fmt.Errorf("line %d: %w", s.lines, err)
		}
	}
}

type session struct {
	in        *bufio.Reader
	out       *bufio.Writer
	instances map[string]*balance.Balancer
	lines     int
	clock     time.Duration
	inBatch   bool // between a mark and its commit
	buf       []byte
}

// readLine returns the next line that is not blank. The end of input is an error inside a batch.
func (s *session) readLine() ([]byte, error) {
	for {
		line, err := s.in.ReadBytes('\n')
		s.lines++
		if line = bytes.TrimSpace(line); len(line) > 0 {
			return line, nil
		}
		if errors.Is(err, io.EOF) && s.inBatch {
			return nil, errors.New("commit: the input ends inside a batch")
		}
		if err != nil {
			return nil, err
		}
	}
}

func (s *session) handle(line []byte) error {
	m, err := Decode(line)
	if err != nil {
		return err
	}
	if (m.Kind == Mark) == s.inBatch {
		if s.inBatch {
			return fmt.Errorf("%s: the batch before is not closed", m.Name)
		}
		return fmt.Errorf("%s: outside a batch", m.Name)
	}
	switch m.Kind {
	case Mark:
		s.inBatch, s.clock, s.buf = true, m.Clock, s.buf[:0]
	case Commit:
		s.inBatch = false
		return s.reply()
	case Start:
		s.instances[m.Instance] = balance.New(m.Settings, m.Seed)
	default:
		return s.deliver(m)
	}
	return nil
}

func (s *session) deliver(m Message) error {
	b := s.instances[m.Instance]
	if b == nil {
		return fmt.Errorf("%s: unknown instance %q", m.Name, m.Instance)
	}
	if m.Kind == Stop {
		delete(s.instances, m.Instance)
		return nil
	}
	for _, a := range b.Handle(s.clock, m.Event) {
		s.buf = Encode(s.buf, m.Instance, a)
	}
	return nil
}

func (s *session) reply() error {
	s.buf = append(s.buf, Next...)
	if _, err := s.out.Write(s.buf); err != nil {
		return fmt.Errorf("reply: %w", err)
	}
	if err := s.out.Flush(); err != nil {
		return fmt.Errorf("reply: %w", err)
	}
	return nil
}
